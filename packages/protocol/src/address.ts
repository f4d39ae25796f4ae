/** The addresses of a node. */

import type { DataCentreId, NodeId } from '@tanagercart/base';

/** The addresses at which a node is reached, and its data centre. */
export interface NodeAddress {
  readonly id: NodeId;
  readonly dataCentre: DataCentreId;
  /** `host:port` for calls of other nodes. */
  readonly peer: string;
  /** Base URL for callers. */
  readonly entry: string;
}

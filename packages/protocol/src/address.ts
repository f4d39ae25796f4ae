/** Addresses of nodes. */

import type { DataCentreId, NodeId } from '@tanagercart/base';

/** Where a node is reached, and where it stands. */
export interface NodeAddress {
  readonly id: NodeId;
  readonly dataCentre: DataCentreId;
  /** `host:port` for the other nodes. */
  readonly peer: string;
  /** Base URL for callers. */
  readonly entry: string;
}

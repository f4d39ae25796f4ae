/** Dependencies and limits of the placement task. */

import type { Clock, Logger, Metrics, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { CommandProposer, SharedState } from '@tanagercart/state';
import type { PlacementClient } from '@tanagercart/upstream';

/** Dependencies and limits of the placement task. */
export interface PlacementOptions {
  readonly self: NodeId;
  readonly state: SharedState;
  readonly proposals: CommandProposer;
  readonly transport: Transport;
  readonly placements: PlacementClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether this node leads and holds the leader's lease, so that no other node can lead. */
  readonly isLeader: () => boolean;
  /** Whether an upstream refuses orders with an old fencing token. */
  readonly checksFencing: (upstream: UpstreamId) => boolean;
  /** Most concurrent loads that the weight store can serve. */
  readonly loadLimit: number;
  /** Time after which every lease granted before has expired, for leaders and for entries. */
  readonly longestLeaseMs: Millis;
}

/** What the placement task needs. */

import type { Clock, Logger, Metrics, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { Proposals, SharedState } from '@tanagercart/state';
import type { PlacementClient } from '@tanagercart/upstream';

/** What the placement task needs. */
export interface PlacementOptions {
  readonly self: NodeId;
  readonly state: SharedState;
  readonly proposals: Proposals;
  readonly transport: Transport;
  readonly placements: PlacementClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether this node leads and no other can. */
  readonly leads: () => boolean;
  /** Whether an upstream refuses orders with an old fencing number. */
  readonly checksFencing: (upstream: UpstreamId) => boolean;
  /** Loads that the weight store serves at once. */
  readonly loadLimit: number;
  /** Time after which no node takes work, or leads, under a lease that was given before. */
  readonly longestLeaseMs: Millis;
}

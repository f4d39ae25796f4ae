/** Changes of nodes and upstreams that are committed together. */

import type { NodeCommand } from './nodes.js';
import type { UpstreamCommand } from './upstreams.js';

/** Many changes under one log index. */
export interface RosterCommand {
  readonly kind: 'roster';
  readonly changes: readonly (NodeCommand | UpstreamCommand)[];
}

/** What became of a batch: how many of its changes were stale. */
export interface RosterOutcome {
  readonly kind: 'roster-done';
  readonly stale: number;
}

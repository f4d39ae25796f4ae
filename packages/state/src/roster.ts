/** A batch of changes to nodes and upstreams that is committed as one command. */

import type { NodeCommand } from './nodes.js';
import type { UpstreamCommand } from './upstreams.js';

/** Changes that are applied in order under one log index. */
export interface RosterCommand {
  readonly kind: 'roster';
  readonly changes: readonly (NodeCommand | UpstreamCommand)[];
}

/** The outcome of such a batch: how many of its changes were stale. */
export interface RosterOutcome {
  readonly kind: 'roster-done';
  readonly stale: number;
}

/** The leader's task that keeps the set of live nodes in the shared state. */

import type { Clock, Logger, Millis } from '@tanagercart/base';
import type { NodeCommand, Proposer } from '@tanagercart/state';
import type { Feed } from './feed.js';
import type { History } from './history.js';
import type { LeaseTiming } from './lease.js';
import type { TreePosition } from './position.js';
import type { Sighting } from './subtree.js';

/** Pause between two looks at the followers, in milliseconds. */
const lookMs = 100;

/** How long one proposal may take, in milliseconds. */
const proposeTimeoutMs = 1000;

/** What the registrar needs. */
export interface RegistrarOptions {
  readonly self: () => Sighting['report'];
  readonly feed: Feed;
  readonly history: History;
  readonly proposer: Proposer;
  readonly position: TreePosition;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly logger: Logger;
}

/** While this node leads, records nodes that come up, drain or fall silent, all of a look at once. */
export async function keepNodes(o: RegistrarOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await o.clock.sleep(lookMs, signal);
    const since = o.position.leadingSince;
    if (signal.aborted || since === undefined) continue;
    const changes = changesOf(o, since);
    if (changes.length === 0) continue;
    await o.proposer.propose({ kind: 'roster', changes }, proposeTimeoutMs);
  }
}

function changesOf(o: RegistrarOptions, leadingSince: Millis): readonly NodeCommand[] {
  const seen = new Map(o.feed.subtree.sightings());
  const report = o.self();
  seen.set(report.node.id, { report, heardAt: o.clock.now() });
  return [...cameUp(o, seen), ...wentDown(o, seen, leadingSince)];
}

function cameUp(o: RegistrarOptions, seen: ReadonlyMap<string, Sighting>): readonly NodeCommand[] {
  const { state } = o.history;
  const changes: NodeCommand[] = [];
  for (const { report } of seen.values()) {
    const { node, incarnation, draining } = report;
    const known = state.nodes.get(node.id)?.incarnation === incarnation;
    if (draining || known || state.isSuperseded(node.id, incarnation)) continue;
    o.logger.info('Node is up.', { node: node.id });
    changes.push({ kind: 'node-up', node, incarnation });
  }
  return changes;
}

/** A new leader waits for a silence of its own before it counts any node as silent. */
function wentDown(
  o: RegistrarOptions,
  seen: ReadonlyMap<string, Sighting>,
  leadingSince: Millis,
): readonly NodeCommand[] {
  const changes: NodeCommand[] = [];
  const mayJudge = leadingSince + o.timing.silenceMs <= o.clock.now();
  for (const [node, { incarnation }] of o.history.state.nodes) {
    const sighting = seen.get(node);
    const drains = sighting?.report.draining === true;
    if (!drains && (sighting || !mayJudge)) continue;
    o.logger.info(drains ? 'Node drains.' : 'Node is silent.', { node });
    changes.push({ kind: 'node-down', node, incarnation, stopped: drains });
  }
  return changes;
}

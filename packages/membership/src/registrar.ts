/** The leader's task that keeps the set of live nodes in the shared state up to date. */

import type { Clock, Logger, Millis } from '@tanagercart/base';
import type { NodeCommand, Proposer } from '@tanagercart/state';
import type { FollowServer } from './followserver.js';
import type { History } from './history.js';
import type { LeaseTiming } from './lease.js';
import type { TreePosition } from './position.js';
import type { ReceivedReport } from './subtree.js';

/** Interval at which the leader compares the recorded nodes with its followers, in milliseconds. */
const reconcileIntervalMs = 100;

/** Deadline of one proposal, in milliseconds. */
const proposeTimeoutMs = 1000;

/** Dependencies and settings of `reconcileNodes`. */
export interface RegistrarOptions {
  readonly self: () => ReceivedReport['report'];
  readonly followServer: FollowServer;
  readonly history: History;
  readonly proposer: Proposer;
  readonly position: TreePosition;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly logger: Logger;
}

/**
 * Task: while this node leads, records the nodes that have come up, are draining or have fallen
 * silent. All changes that are found at once share one proposal.
 */
export async function reconcileNodes(o: RegistrarOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await o.clock.sleep(reconcileIntervalMs, signal);
    const since = o.position.leadingSince;
    if (signal.aborted || since === undefined) continue;
    const changes = findChanges(o, since);
    if (changes.length === 0) continue;
    await o.proposer.propose({ kind: 'roster', changes }, proposeTimeoutMs);
  }
}

function findChanges(o: RegistrarOptions, leadingSince: Millis): readonly NodeCommand[] {
  const reports = new Map(o.followServer.subtree.liveReports());
  const report = o.self();
  reports.set(report.node.id, { report, receivedAt: o.clock.now() });
  return [...findNodesUp(o, reports), ...findNodesDown(o, reports, leadingSince)];
}

function findNodesUp(
  o: RegistrarOptions,
  reports: ReadonlyMap<string, ReceivedReport>,
): readonly NodeCommand[] {
  const { state } = o.history;
  const changes: NodeCommand[] = [];
  for (const { report } of reports.values()) {
    const { node, incarnation, draining } = report;
    const isRecorded = state.nodes.get(node.id)?.incarnation === incarnation;
    if (draining || isRecorded || state.isSuperseded(node.id, incarnation)) continue;
    o.logger.info('Node is up.', { node: node.id });
    changes.push({ kind: 'node-up', node, incarnation });
  }
  return changes;
}

/**
 * A new leader has no reports yet, so it waits for `silenceMs` before it counts any node as silent.
 */
function findNodesDown(
  o: RegistrarOptions,
  reports: ReadonlyMap<string, ReceivedReport>,
  leadingSince: Millis,
): readonly NodeCommand[] {
  const changes: NodeCommand[] = [];
  const canDetectSilence = leadingSince + o.timing.silenceMs <= o.clock.now();
  for (const [node, { incarnation }] of o.history.state.nodes) {
    const received = reports.get(node);
    const isDraining = received?.report.draining === true;
    if (!isDraining && (received || !canDetectSilence)) continue;
    o.logger.info(isDraining ? 'Node is draining.' : 'Node is silent.', { node });
    changes.push({ kind: 'node-down', node, incarnation, stopped: isDraining });
  }
  return changes;
}

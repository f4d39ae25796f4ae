/** The leader's task that keeps the replicas of every model planned. */

import type { Clock, Logger, Millis, ModelId } from '@tanagercart/base';
import type { Proposer, Replica, SharedState } from '@tanagercart/state';
import { replicaPlanSteps } from './plan.js';

/** Pause between two looks at the upstreams, in milliseconds. */
const pollIntervalMs = 100;

/** Stillness of a model's stages before it is planned, in milliseconds. */
const debounceMs: Millis = 200;

/** Longest time that changes which go on may put a plan off, in milliseconds. */
const maxDebounceMs: Millis = 1000;

/** How long one proposal may take, in milliseconds. */
const proposeTimeoutMs = 1000;

/** What the planner needs. */
export interface PlannerOptions {
  readonly state: SharedState;
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly isLeader: () => boolean;
}

/** What a model's plan depends on, and since when. */
interface PendingChange {
  readonly signature: string;
  readonly firstAt: Millis;
  readonly lastAt: Millis;
}

/** While this node leads, re-plans each model whose stages have changed and then kept still. */
export async function maintainReplicas(o: PlannerOptions, signal: AbortSignal): Promise<void> {
  const pending = new Map<ModelId, PendingChange>();
  const planned = new Map<ModelId, string>();
  let lastIndex = -1;
  while (!signal.aborted) {
    await o.clock.sleep(pollIntervalMs, signal);
    if (!o.isLeader()) {
      planned.clear();
      pending.clear();
      lastIndex = -1;
      continue;
    }
    if (o.state.index !== lastIndex) recordChanges(o, pending, planned);
    lastIndex = o.state.index;
    for (const [id, change] of [...pending]) {
      if (!isDue(change, o.clock.now())) continue;
      pending.delete(id);
      if (await replan(o, id)) planned.set(id, change.signature);
      else pending.set(id, change);
    }
  }
}

function recordChanges(
  o: PlannerOptions,
  pending: Map<ModelId, PendingChange>,
  planned: ReadonlyMap<ModelId, string>,
): void {
  const now = o.clock.now();
  for (const [id, signature] of signaturesOf(o.state)) {
    const change = pending.get(id);
    if (planned.get(id) === signature) pending.delete(id);
    else if (change?.signature !== signature) {
      pending.set(id, { signature, firstAt: change?.firstAt ?? now, lastAt: now });
    }
  }
}

function isDue(change: PendingChange, now: Millis): boolean {
  return now - change.lastAt >= debounceMs || now - change.firstAt >= maxDebounceMs;
}

/** For each model its layers, and its stages with what they hold of them. */
function signaturesOf(state: SharedState): ReadonlyMap<ModelId, string> {
  const parts = new Map<ModelId, string[]>();
  for (const model of state.release.models.values()) parts.set(model.id, [`${model.layers}`]);
  for (const { id, incarnation, role } of state.upstreams.values()) {
    if (role.kind !== 'stage') continue;
    const { model, from, to } = role.stage;
    parts.get(model)?.push(`${id}/${incarnation}/${from}-${to}`);
  }
  return new Map([...parts].map(([id, list]) => [id, list.sort().join('|')]));
}

/** Plans one model; false where the plan could not be recorded. */
async function replan(o: PlannerOptions, id: ModelId): Promise<boolean> {
  const model = o.state.release.models.get(id);
  if (!model) return true;
  const current = [...o.state.replicas.values()].filter((r) => r.model === id);
  const replicas = await runToEnd(
    replicaPlanSteps(model, [...o.state.upstreams.values()], current),
    o.clock,
  );
  if (sameReplicas(current, replicas)) return true;
  o.logger.info('Replicas planned.', { model: id, replicas: replicas.length });
  const result = await o.proposer.propose({ kind: 'plan', model: id, replicas }, proposeTimeoutMs);
  return result.isOk() && result.value.outcome.kind === 'done';
}

/** Runs a plan to its end, and lets other tasks run between its steps. */
async function runToEnd<T>(steps: Generator<undefined, T>, clock: Clock): Promise<T> {
  for (;;) {
    const step = steps.next();
    if (step.done) return step.value;
    await clock.sleep(0);
  }
}

function sameReplicas(a: readonly Replica[], b: readonly Replica[]): boolean {
  const ids = new Set(a.map((r) => r.id));
  return a.length === b.length && b.every((r) => ids.has(r.id));
}

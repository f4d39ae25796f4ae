/**
 * The task by which the leader keeps the planned replicas of every model up to date as stages come
 * and go. It waits until a model's stages have stopped changing, so that stages which start one
 * after the other lead to one plan rather than to many.
 */

import type { Clock, Logger, Millis, ModelId } from '@tanagercart/base';
import type { Proposer, Replica, SharedState } from '@tanagercart/state';
import { replicaPlanSteps } from './plan.js';

/** Interval between two checks for changed upstreams, in milliseconds. */
const pollIntervalMs = 100;

/** Time without a change of a model's stages after which the model is planned, in milliseconds. */
const debounceMs: Millis = 200;

/** Longest time for which continuing changes delay a plan, in milliseconds. */
const maxDebounceMs: Millis = 1000;

/** Timeout of a proposal to the log, in milliseconds. */
const proposeTimeoutMs = 1000;

/** Dependencies of the planner. */
export interface PlannerOptions {
  readonly state: SharedState;
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether this node leads and holds the leader's lease. */
  readonly isLeader: () => boolean;
}

/**
 * A change of a model's stages that is not yet planned, with the times of its first and last part.
 */
interface PendingChange {
  /** The stages that the plan depends on, as text that can be compared. */
  readonly signature: string;
  readonly firstAt: Millis;
  readonly lastAt: Millis;
}

/**
 * Plans models again when their stages change, while this node leads. Runs until `signal` aborts.
 */
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

/** Updates `pending` with the models whose stages differ from those that were last planned. */
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

/** The signature of each model: its number of layers, and the stages with the layers they hold. */
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

/** Plans one model and proposes the plan; returns false if the log did not accept it. */
async function replan(o: PlannerOptions, id: ModelId): Promise<boolean> {
  const model = o.state.release.models.get(id);
  if (!model) return true;
  const current = [...o.state.replicas.values()].filter((r) => r.model === id);
  const replicas = await runToEnd(
    replicaPlanSteps(model, [...o.state.upstreams.values()], current),
    o.clock,
  );
  if (sameReplicas(current, replicas)) return true;
  o.logger.info('Planned the replicas of a model.', { model: id, replicas: replicas.length });
  const result = await o.proposer.propose({ kind: 'plan', model: id, replicas }, proposeTimeoutMs);
  return result.isOk() && result.value.outcome.kind === 'done';
}

/** Runs `steps` to the end, and lets other tasks run between them. */
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

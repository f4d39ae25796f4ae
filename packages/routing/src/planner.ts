/** The leader's task that keeps the replicas of every model planned. */

import type { Clock, Logger, Millis, ModelId } from '@tanagercart/base';
import type { Proposer, Replica, SharedState } from '@tanagercart/state';
import { replicaPlanSteps } from './chain.js';

/** Pause between two looks at the upstreams, in milliseconds. */
const lookMs = 100;

/** Stillness of a model's stages before it is planned, in milliseconds. */
const quietMs: Millis = 200;

/** Longest time that changes which go on may put a plan off, in milliseconds. */
const patienceMs: Millis = 1000;

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
interface Seen {
  readonly signature: string;
  readonly firstAt: Millis;
  readonly lastAt: Millis;
}

/** While this node leads, re-plans each model whose stages have changed and then kept still. */
export async function maintainReplicas(o: PlannerOptions, signal: AbortSignal): Promise<void> {
  const changed = new Map<ModelId, Seen>();
  const planned = new Map<ModelId, string>();
  let seenIndex = -1;
  while (!signal.aborted) {
    await o.clock.sleep(lookMs, signal);
    if (!o.isLeader()) {
      planned.clear();
      changed.clear();
      seenIndex = -1;
      continue;
    }
    if (o.state.index !== seenIndex) noteChanges(o, changed, planned);
    seenIndex = o.state.index;
    for (const [id, seen] of [...changed]) {
      if (!isDue(seen, o.clock.now())) continue;
      changed.delete(id);
      if (await replan(o, id)) planned.set(id, seen.signature);
      else changed.set(id, seen);
    }
  }
}

function noteChanges(
  o: PlannerOptions,
  changed: Map<ModelId, Seen>,
  planned: ReadonlyMap<ModelId, string>,
): void {
  const now = o.clock.now();
  for (const [id, signature] of signaturesOf(o.state)) {
    const seen = changed.get(id);
    if (planned.get(id) === signature) changed.delete(id);
    else if (seen?.signature !== signature) {
      changed.set(id, { signature, firstAt: seen?.firstAt ?? now, lastAt: now });
    }
  }
}

function isDue(seen: Seen, now: Millis): boolean {
  return now - seen.lastAt >= quietMs || now - seen.firstAt >= patienceMs;
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
  const standing = [...o.state.replicas.values()].filter((r) => r.model === id);
  const replicas = await finish(
    replicaPlanSteps(model, [...o.state.upstreams.values()], standing),
    o.clock,
  );
  if (sameReplicas(standing, replicas)) return true;
  o.logger.info('Replicas planned.', { model: id, replicas: replicas.length });
  const done = await o.proposer.propose({ kind: 'plan', model: id, replicas }, proposeTimeoutMs);
  return done.isOk() && done.value.outcome.kind === 'done';
}

/** Runs a plan to its end, and lets other tasks run between its steps. */
async function finish<T>(steps: Generator<undefined, T>, clock: Clock): Promise<T> {
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

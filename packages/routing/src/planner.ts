/** The leader's task that keeps the replicas of every model planned. */

import type { Clock, Logger, ModelId } from '@tanagercart/base';
import type { Proposer, Replica, SharedState } from '@tanagercart/state';
import { planChains } from './chain.js';

/** Pause between two looks at the upstreams, in milliseconds. */
const lookMs = 100;

/** How long one proposal may take, in milliseconds. */
const proposeTimeoutMs = 1000;

/** What the planner needs. */
export interface PlannerOptions {
  readonly state: SharedState;
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly leads: () => boolean;
}

/** While this node leads, re-plans each model whose stages have changed. */
export async function keepPlans(o: PlannerOptions, signal: AbortSignal): Promise<void> {
  let planned = 0;
  while (!signal.aborted) {
    await o.clock.sleep(lookMs, signal);
    if (!o.leads() || o.state.index === planned) continue;
    planned = o.state.index;
    for (const model of [...o.state.release.models.values()]) await replan(o, model.id);
  }
}

async function replan(o: PlannerOptions, id: ModelId): Promise<void> {
  const model = o.state.release.models.get(id);
  if (!model) return;
  const standing = [...o.state.replicas.values()].filter((r) => r.model === id);
  const replicas = planChains(model, [...o.state.upstreams.values()], standing);
  if (sameReplicas(standing, replicas)) return;
  o.logger.info('Replicas planned.', { model: id, replicas: replicas.length });
  await o.proposer.propose({ kind: 'plan', model: id, replicas }, proposeTimeoutMs);
}

function sameReplicas(a: readonly Replica[], b: readonly Replica[]): boolean {
  const ids = new Set(a.map((r) => r.id));
  return a.length === b.length && b.every((r) => ids.has(r.id));
}

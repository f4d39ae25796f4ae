/**
 * Plans the replicas of a model. A replica is a chain of pipeline stages that together hold every
 * layer of the model exactly once.
 */

import { ReplicaId, digestOf } from '@tanagercart/base';
import type { Millis, UpstreamId } from '@tanagercart/base';
import type { Model } from '@tanagercart/release';
import type { Replica, Stage, Upstream } from '@tanagercart/state';
import { LinkBudget, LinkTable } from './links.js';
import { byLayer, widestChain } from './widestchain.js';

/** A stage and the upstream that serves it. */
export interface UpstreamStage {
  readonly upstream: Upstream;
  readonly stage: Stage;
}

/**
 * Share by which a plan from scratch must exceed the throughput of a plan that keeps the current
 * replicas, before it replaces them.
 */
const minReplanGain = 0.1;

/** Most latency that the links of a chain may add to each token, in milliseconds. */
const maxChainLatencyMs: Millis = 50;

/**
 * The replicas that `model` should have. They are those of `current` that are still complete, and
 * new ones built of the stages that these leave free; or all new ones if that yields a throughput
 * higher by more than `minReplanGain`.
 */
export function planReplicas(
  model: Model,
  upstreams: readonly Upstream[],
  current: readonly Replica[],
  links: LinkTable = LinkTable.create(),
): readonly Replica[] {
  const steps = replicaPlanSteps(model, upstreams, current, links);
  for (;;) {
    const step = steps.next();
    if (step.done) return step.value;
  }
}

/** Does the same as `planReplicas`, but yields after each chain so that other tasks can run. */
export function* replicaPlanSteps(
  model: Model,
  upstreams: readonly Upstream[],
  current: readonly Replica[],
  links: LinkTable = LinkTable.create(),
): Generator<undefined, readonly Replica[]> {
  const stages = new Map(stagesOf(model, upstreams).map((s) => [s.upstream.id, s]));
  const kept = current.filter((r) => isComplete(model, r, stages));
  const usedIds = new Set(kept.flatMap((r) => r.stages));
  const free = [...stages.values()].filter((s) => !usedIds.has(s.upstream.id));
  const budget = LinkBudget.create(links);
  for (const replica of kept) reserveLinks(stagesOfReplica(replica, stages), budget);
  const extended = [...kept, ...(yield* buildReplicas(model, free, budget))];
  if (kept.length === 0) return extended;
  const replanned = yield* buildReplicas(model, [...stages.values()], LinkBudget.create(links));
  const isBetter =
    throughputOf(replanned, stages, links) >
    throughputOf(extended, stages, links) * (1 + minReplanGain);
  return isBetter ? replanned : extended;
}

/**
 * Total throughput of `replicas` in tokens per second. Each replica is limited by its slowest
 * stage, and by the throughput that the replicas before it leave on its links.
 */
export function throughputOf(
  replicas: readonly Replica[],
  stages: ReadonlyMap<UpstreamId, UpstreamStage>,
  links: LinkTable,
): number {
  const budget = LinkBudget.create(links);
  return replicas.reduce((n, r) => n + reserveLinks(stagesOfReplica(r, stages), budget), 0);
}

/** The stages of a replica, without those that are not in `stages`. */
function stagesOfReplica(
  replica: Replica,
  stages: ReadonlyMap<UpstreamId, UpstreamStage>,
): readonly UpstreamStage[] {
  return replica.stages.flatMap((id) => stages.get(id) ?? []);
}

/** Reserves the throughput of a chain on its links, and returns it in tokens per second. */
function reserveLinks(chain: readonly UpstreamStage[], budget: LinkBudget): number {
  const hops = chain.slice(1).map((to, i) => ({
    from: chain[i]!.upstream.dataCentre,
    to: to.upstream.dataCentre,
  }));
  const width = Math.min(
    ...chain.map((s) => s.stage.tokensPerSecond),
    ...hops.map((h) => budget.between(h.from, h.to).tokensPerSecond),
  );
  for (const hop of hops) budget.reserve(hop.from, hop.to, width);
  return width;
}

/** Builds replicas greedily: takes the widest chain of the remaining stages until there is none. */
function* buildReplicas(
  model: Model,
  free: readonly UpstreamStage[],
  budget: LinkBudget,
): Generator<undefined, readonly Replica[]> {
  const remaining = new Set([...free].sort(byLayer));
  const built: Replica[] = [];
  for (;;) {
    const chain = widestChain(model, remaining, budget, maxChainLatencyMs);
    if (!chain) return built;
    reserveLinks(chain, budget);
    for (const s of chain) remaining.delete(s);
    built.push(
      createReplica(
        model,
        chain.map((s) => s.upstream.id),
      ),
    );
    yield;
  }
}

/** The stages of `model` among `upstreams`. */
export function stagesOf(model: Model, upstreams: readonly Upstream[]): readonly UpstreamStage[] {
  const out: UpstreamStage[] = [];
  for (const upstream of upstreams) {
    const { role } = upstream;
    if (role.kind === 'stage' && role.stage.model === model.id) {
      out.push({ upstream, stage: role.stage });
    }
  }
  return out;
}

/** Whether all stages of a replica still exist and together hold each layer exactly once. */
function isComplete(
  model: Model,
  replica: Replica,
  stages: ReadonlyMap<UpstreamId, UpstreamStage>,
): boolean {
  let layer = 0;
  for (const id of replica.stages) {
    const held = stages.get(id)?.stage;
    if (held?.from !== layer) return false;
    layer = held.to;
  }
  return layer === model.layers;
}

/** Creates a replica; equal chains get equal ids, so that plans can be compared by id. */
function createReplica(model: Model, stages: readonly UpstreamId[]): Replica {
  const id = ReplicaId(`${model.id}-${digestOf(stages.join('|')).slice(0, 10)}`);
  return { id, model: model.id, stages };
}

/** Builds replicas: chains of stages that hold every layer of a model exactly once. */

import { ReplicaId, digestOf } from '@tanagercart/base';
import type { UpstreamId } from '@tanagercart/base';
import type { Model } from '@tanagercart/release';
import type { Replica, Stage, Upstream } from '@tanagercart/state';

/** A stage that is free to join a chain. */
export interface FreeStage {
  readonly upstream: Upstream;
  readonly stage: Stage;
}

/** Replicas of `model`: those of `standing` that are still whole, then new ones of the free stages. */
export function planChains(
  model: Model,
  upstreams: readonly Upstream[],
  standing: readonly Replica[],
): readonly Replica[] {
  const stages = new Map(stagesOf(model, upstreams).map((s) => [s.upstream.id, s]));
  const kept = standing.filter((r) => isWhole(model, r, stages));
  for (const id of kept.flatMap((r) => r.stages)) stages.delete(id);
  const built: Replica[] = [];
  for (;;) {
    const chain = buildChain(model, [...stages.values()]);
    if (!chain) return [...kept, ...built];
    for (const s of chain) stages.delete(s.upstream.id);
    built.push(
      replicaOf(
        model,
        chain.map((s) => s.upstream.id),
      ),
    );
  }
}

function stagesOf(model: Model, upstreams: readonly Upstream[]): readonly FreeStage[] {
  const out: FreeStage[] = [];
  for (const upstream of upstreams) {
    const { role } = upstream;
    if (role.kind === 'stage' && role.stage.model === model.id) {
      out.push({ upstream, stage: role.stage });
    }
  }
  return out;
}

function isWhole(
  model: Model,
  replica: Replica,
  stages: ReadonlyMap<UpstreamId, FreeStage>,
): boolean {
  let layer = 0;
  for (const id of replica.stages) {
    const held = stages.get(id)?.stage;
    if (held?.from !== layer) return false;
    layer = held.to;
  }
  return layer === model.layers;
}

/** The chain of highest bottleneck throughput, preferring stages of one data centre. */
function buildChain(model: Model, free: readonly FreeStage[]): readonly FreeStage[] | undefined {
  const chain: FreeStage[] = [];
  let layer = 0;
  while (layer < model.layers) {
    const next = bestNext(free, layer, chain.at(-1));
    if (!next) return undefined;
    chain.push(next);
    layer = next.stage.to;
  }
  return layer === model.layers ? chain : undefined;
}

function bestNext(
  free: readonly FreeStage[],
  layer: number,
  before?: FreeStage,
): FreeStage | undefined {
  const near = (s: FreeStage) => Number(s.upstream.dataCentre === before?.upstream.dataCentre);
  const rank = (a: FreeStage, b: FreeStage) =>
    near(b) - near(a) ||
    b.stage.tokensPerSecond - a.stage.tokensPerSecond ||
    (a.upstream.id < b.upstream.id ? -1 : 1);
  return free.filter((s) => s.stage.from === layer).sort(rank)[0];
}

function replicaOf(model: Model, stages: readonly UpstreamId[]): Replica {
  const id = ReplicaId(`${model.id}-${digestOf(stages.join('|')).slice(0, 10)}`);
  return { id, model: model.id, stages };
}

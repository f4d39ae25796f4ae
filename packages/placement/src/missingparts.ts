/** Ranks the parts of the release that upstreams do not hold yet. */

import type { UpstreamId } from '@tanagercart/base';
import type { WorkItem } from '@tanagercart/protocol';
import type { Model } from '@tanagercart/release';
import type { ModelPart, Replica, SharedState, Stage, Upstream } from '@tanagercart/state';
import { includesPart, partsOf } from './part.js';

/** A part of a model on one stage: one to load, or a withdrawn one to unload. */
export interface StagePart {
  readonly upstream: Upstream;
  readonly stage: Stage;
  readonly part: ModelPart;
}

interface RankedPart {
  readonly stagePart: StagePart;
  /** Urgency rank of the requests that no replica can serve without the part; 0 is the highest. */
  readonly urgency: number;
  /** Number of replicas that hold or are loading the part on every stage. */
  readonly servingReplicas: number;
  /** Number of stages without the part in the upstream's replica; infinite if it is in none. */
  readonly missingStages: number;
  /** Id of the upstream's replica; empty if it is in none. */
  readonly replica: string;
}

/** Whether an upstream holds a part or has been ordered to load it. */
type HasPart = (upstream: UpstreamId, part: ModelPart) => boolean;

/**
 * The parts that upstreams lack, in the order in which they should be loaded. Parts that the most
 * urgent unserved requests wait for come first, then parts that the fewest replicas serve. One
 * replica is completed before the next, since a replica can serve a part only once all its stages
 * hold it.
 */
export function missingParts(
  state: SharedState,
  unserved: readonly WorkItem[],
): readonly StagePart[] {
  const hasPart = partLookup(state);
  const ranked: RankedPart[] = [];
  for (const model of state.release.models.values()) {
    const replicas = [...state.replicas.values()].filter((r) => r.model === model.id);
    const replicaOf = new Map(replicas.flatMap((r) => r.stages.map((s) => [s, r] as const)));
    for (const part of partsOf(model)) {
      const servingReplicas = replicas.filter((r) =>
        r.stages.every((s) => hasPart(s, part)),
      ).length;
      const urgency = servingReplicas > 0 ? Infinity : urgencyOf(model, part, unserved);
      for (const stagePart of stagesWithoutPart(state, model, part, hasPart)) {
        const replica = replicaOf.get(stagePart.upstream.id);
        const missingStages = replica ? countMissingStages(replica, part, hasPart) : Infinity;
        ranked.push({
          stagePart,
          urgency,
          servingReplicas,
          missingStages,
          replica: replica?.id ?? '',
        });
      }
    }
  }
  return ranked.sort(byRank).map((r) => r.stagePart);
}

function partLookup(state: SharedState): HasPart {
  const loading = new Set<string>();
  for (const { order } of state.placement.issued) {
    if (order.action === 'load') loading.add(keyOf(order.upstream, order.part));
  }
  return (id, part) => {
    const role = state.upstreams.get(id)?.role;
    return (
      (role?.kind === 'stage' && includesPart(role.stage, part)) || loading.has(keyOf(id, part))
    );
  };
}

function stagesWithoutPart(
  state: SharedState,
  model: Model,
  part: ModelPart,
  has: HasPart,
): readonly StagePart[] {
  const found: StagePart[] = [];
  for (const upstream of state.upstreams.values()) {
    const { role } = upstream;
    if (role.kind !== 'stage' || role.stage.model !== model.id || has(upstream.id, part)) continue;
    found.push({ upstream, stage: role.stage, part });
  }
  return found;
}

function countMissingStages(replica: Replica, part: ModelPart, hasPart: HasPart): number {
  return replica.stages.filter((s) => !hasPart(s, part)).length;
}

function urgencyOf(model: Model, part: ModelPart, unserved: readonly WorkItem[]): number {
  const blocked = unserved.filter(
    (w) => w.model === model.id && (part.kind === 'version' ? w.version : w.adapter) === part.name,
  );
  return Math.min(Infinity, ...blocked.map((w) => w.urgency));
}

function byRank(a: RankedPart, b: RankedPart): number {
  return (
    compare(a.urgency, b.urgency) ||
    compare(a.servingReplicas, b.servingReplicas) ||
    compare(a.missingStages, b.missingStages) ||
    compare(a.replica, b.replica) ||
    compare(b.stagePart.part.kind, a.stagePart.part.kind) ||
    compare(a.stagePart.part.name, b.stagePart.part.name) ||
    compare(a.stagePart.upstream.id, b.stagePart.upstream.id)
  );
}

function compare<T extends number | string>(a: T, b: T): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}

function keyOf(upstream: UpstreamId, part: ModelPart): string {
  return `${upstream}|${part.kind}|${part.name}`;
}

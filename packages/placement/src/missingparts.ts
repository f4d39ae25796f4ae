/** What upstreams lack of the release, the most needed first. */

import type { UpstreamId } from '@tanagercart/base';
import type { WorkItem } from '@tanagercart/protocol';
import type { Model } from '@tanagercart/release';
import type { ModelPart, Replica, SharedState, Stage, Upstream } from '@tanagercart/state';
import { includesPart, partsOf } from './part.js';

/** A part of the release that an upstream lacks. */
export interface StagePart {
  readonly upstream: Upstream;
  readonly stage: Stage;
  readonly part: ModelPart;
}

interface RankedPart {
  readonly stagePart: StagePart;
  /** Urgency of the requests that no replica can serve for want of the part. */
  readonly urgency: number;
  /** Replicas that hold the part on every stage, or soon will. */
  readonly servingReplicas: number;
  /** Stages of the upstream's replica that lack the part. */
  readonly missingStages: number;
  readonly replica: string;
}

/** Whether an upstream holds a part or is being given it. */
type HasPart = (upstream: UpstreamId, part: ModelPart) => boolean;

/**
 * What upstreams lack, in the order in which it should be loaded: first what unblocks the most
 * urgent requests, then what the fewest replicas serve, and one replica after another, since a
 * replica serves a part only once all its stages hold it.
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

/** The table of announced upstreams, and of the replicas that are planned on them. */

import { unreachable } from '@tanagercart/base';
import type { ModelId, ReplicaId, ServiceId, UpstreamId } from '@tanagercart/base';

/** An upstream as it announced itself. */
export interface Upstream {
  readonly id: UpstreamId;
  /** Identifies one start of the upstream process. */
  readonly incarnation: string;
  readonly url: string;
  readonly dataCentre: string;
  readonly role: UpstreamRole;
}

/** What an upstream serves: a pipeline stage of a model, or a plain service. */
export type UpstreamRole =
  | { readonly kind: 'stage'; readonly stage: Stage }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** A pipeline stage: consecutive layers of a model on one accelerator. */
export interface Stage {
  readonly model: ModelId;
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  /** First layer held, inclusive. */
  readonly from: number;
  /** Last layer held, exclusive. */
  readonly to: number;
  readonly accelerator: string;
  /** Throughput of the stage at full load. */
  readonly tokensPerSecond: number;
  /** Sequences that the stage can run at once. */
  readonly slots: number;
}

/** A pipeline of stages that together hold every layer of a model once. */
export interface Replica {
  readonly id: ReplicaId;
  readonly model: ModelId;
  /** Stages in the order of their layers. */
  readonly stages: readonly UpstreamId[];
}

/** Commands that change upstreams and replicas. */
export type UpstreamCommand =
  | { readonly kind: 'upstream-up'; readonly upstream: Upstream }
  | {
      readonly kind: 'upstream-down';
      readonly upstream: UpstreamId;
      readonly incarnation: string;
      /** Whether the upstream announced that it leaves, which is final for this incarnation. */
      readonly left: boolean;
    }
  /** Replaces all replicas of a model. */
  | { readonly kind: 'plan'; readonly model: ModelId; readonly replicas: readonly Replica[] };

/** The outcome of an upstream command. */
export type UpstreamOutcome = { readonly kind: 'done' } | { readonly kind: 'stale' };

/** The table as a snapshot stores it. */
export interface UpstreamSnapshot {
  readonly upstreams: readonly Upstream[];
  readonly replicas: readonly Replica[];
  /** The last incarnation of each upstream that left. */
  readonly left: readonly (readonly [UpstreamId, string])[];
}

/** Whether an upstream may change from one role to the other without breaking its replicas. */
function haveSameLayers(a: UpstreamRole, b: UpstreamRole): boolean {
  if (a.kind !== 'stage' || b.kind !== 'stage') return a.kind === b.kind;
  const { model, from, to } = b.stage;
  return a.stage.model === model && a.stage.from === from && a.stage.to === to;
}

/** Bounds the upstreams that left and are remembered; the oldest is evicted. */
const maxRememberedLeft = 4096;

/** The upstreams and replicas. A replica is removed together with any of its stages. */
export class UpstreamTable {
  private readonly upstreamsById = new Map<UpstreamId, Upstream>();
  private readonly replicasById = new Map<ReplicaId, Replica>();
  /** The last incarnation of each upstream that left. A late announcement of it is stale. */
  private readonly left = new Map<UpstreamId, string>();
  private changeCount = 0;

  static create(): UpstreamTable {
    return new UpstreamTable();
  }

  get upstreams(): ReadonlyMap<UpstreamId, Upstream> {
    return this.upstreamsById;
  }

  get replicas(): ReadonlyMap<ReplicaId, Replica> {
    return this.replicasById;
  }

  /** Number of commands and restores on this node; not part of the replicated state. */
  get version(): number {
    return this.changeCount;
  }

  apply(command: UpstreamCommand): UpstreamOutcome {
    this.changeCount += 1;
    switch (command.kind) {
      case 'upstream-up':
        return this.recordUp(command.upstream);
      case 'upstream-down':
        return this.recordDown(command.upstream, command.incarnation, command.left);
      case 'plan':
        return this.replaceReplicas(command.model, command.replicas);
      default:
        return unreachable(command);
    }
  }

  snapshot(): UpstreamSnapshot {
    return {
      upstreams: [...this.upstreamsById.values()],
      replicas: [...this.replicasById.values()],
      left: [...this.left],
    };
  }

  restore(snapshot: UpstreamSnapshot): void {
    this.changeCount += 1;
    this.upstreamsById.clear();
    this.replicasById.clear();
    this.left.clear();
    for (const [upstream, incarnation] of snapshot.left) {
      this.left.set(upstream, incarnation);
    }
    for (const upstream of snapshot.upstreams) {
      this.upstreamsById.set(upstream.id, upstream);
    }
    for (const replica of snapshot.replicas) {
      this.replicasById.set(replica.id, replica);
    }
  }

  private recordUp(upstream: Upstream): UpstreamOutcome {
    if (this.left.get(upstream.id) === upstream.incarnation) {
      return { kind: 'stale' };
    }
    const before = this.upstreamsById.get(upstream.id);
    this.upstreamsById.set(upstream.id, upstream);
    if (before && !haveSameLayers(before.role, upstream.role)) this.removeReplicasOf(upstream.id);
    return { kind: 'done' };
  }

  private recordDown(upstream: UpstreamId, incarnation: string, left: boolean): UpstreamOutcome {
    if (left) this.recordLeft(upstream, incarnation);
    if (this.upstreamsById.get(upstream)?.incarnation !== incarnation) {
      return { kind: 'stale' };
    }
    this.upstreamsById.delete(upstream);
    this.removeReplicasOf(upstream);
    return { kind: 'done' };
  }

  private removeReplicasOf(upstream: UpstreamId): void {
    for (const replica of [...this.replicasById.values()]) {
      if (replica.stages.includes(upstream)) {
        this.replicasById.delete(replica.id);
      }
    }
  }

  private recordLeft(upstream: UpstreamId, incarnation: string): void {
    this.left.delete(upstream);
    this.left.set(upstream, incarnation);
    const oldest = this.left.keys().next().value;
    if (this.left.size > maxRememberedLeft && oldest) this.left.delete(oldest);
  }

  private replaceReplicas(model: ModelId, replicas: readonly Replica[]): UpstreamOutcome {
    const missing = replicas.some((r) => r.stages.some((s) => !this.upstreamsById.has(s)));
    if (missing) {
      return { kind: 'stale' };
    }
    for (const replica of [...this.replicasById.values()]) {
      if (replica.model === model) {
        this.replicasById.delete(replica.id);
      }
    }
    for (const replica of replicas) {
      this.replicasById.set(replica.id, replica);
    }
    return { kind: 'done' };
  }
}

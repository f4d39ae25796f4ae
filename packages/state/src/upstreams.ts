/** The upstreams that announced themselves, and the replicas that are planned of them. */

import { unreachable } from '@tanagercart/base';
import type { ModelId, ReplicaId, ServiceId, UpstreamId } from '@tanagercart/base';

/** An upstream as it announced itself. */
export interface Upstream {
  readonly id: UpstreamId;
  /** Differs for each start of the upstream. */
  readonly incarnation: string;
  readonly url: string;
  readonly dataCentre: string;
  readonly role: UpstreamRole;
}

/** What an upstream serves. */
export type UpstreamRole =
  | { readonly kind: 'stage'; readonly stage: Stage }
  | { readonly kind: 'service'; readonly service: ServiceId };

/** A part of a model on one accelerator. */
export interface Stage {
  readonly model: ModelId;
  readonly versions: readonly string[];
  readonly adapters: readonly string[];
  /** First layer held, inclusive. */
  readonly from: number;
  /** Last layer held, exclusive. */
  readonly to: number;
  readonly accelerator: string;
  /** Tokens per second that the stage can pass on when it is full. */
  readonly tokensPerSecond: number;
  /** Sequences that run at once. */
  readonly slots: number;
}

/** A chain of stages that hold every layer of a model once. */
export interface Replica {
  readonly id: ReplicaId;
  readonly model: ModelId;
  /** Stages in order of layers. */
  readonly stages: readonly UpstreamId[];
}

/** Changes of upstreams and replicas. */
export type UpstreamCommand =
  | { readonly kind: 'upstream-up'; readonly upstream: Upstream }
  | {
      readonly kind: 'upstream-down';
      readonly upstream: UpstreamId;
      readonly incarnation: string;
      /** Whether the upstream said that it leaves, which is final for this start of it. */
      readonly left: boolean;
    }
  | { readonly kind: 'plan'; readonly model: ModelId; readonly replicas: readonly Replica[] };

/** What became of a change of upstreams or replicas. */
export type UpstreamOutcome = { readonly kind: 'done' } | { readonly kind: 'stale' };

/** Upstreams and replicas as a snapshot holds them. */
export interface UpstreamSnapshot {
  readonly upstreams: readonly Upstream[];
  readonly replicas: readonly Replica[];
  readonly left: readonly (readonly [UpstreamId, string])[];
}

/** Whether a chain through an upstream of one role holds the same layers through the other. */
function sameLayers(a: UpstreamRole, b: UpstreamRole): boolean {
  if (a.kind !== 'stage' || b.kind !== 'stage') return a.kind === b.kind;
  const { model, from, to } = b.stage;
  return a.stage.model === model && a.stage.from === from && a.stage.to === to;
}

/** Upstreams that left and are remembered. */
const rememberedLeft = 4096;

/** Keeps upstreams and replicas. A replica never outlives one of its stages. */
export class UpstreamTable {
  private readonly roster = new Map<UpstreamId, Upstream>();
  private readonly chains = new Map<ReplicaId, Replica>();
  /** The last start of each upstream that left. */
  private readonly left = new Map<UpstreamId, string>();
  private changes = 0;

  static create(): UpstreamTable {
    return new UpstreamTable();
  }

  get upstreams(): ReadonlyMap<UpstreamId, Upstream> {
    return this.roster;
  }

  get replicas(): ReadonlyMap<ReplicaId, Replica> {
    return this.chains;
  }

  /** Counts the changes on this node; not part of the replicated state. */
  get version(): number {
    return this.changes;
  }

  apply(command: UpstreamCommand): UpstreamOutcome {
    this.changes += 1;
    switch (command.kind) {
      case 'upstream-up':
        return this.up(command.upstream);
      case 'upstream-down':
        return this.down(command.upstream, command.incarnation, command.left);
      case 'plan':
        return this.plan(command.model, command.replicas);
      default:
        return unreachable(command);
    }
  }

  snapshot(): UpstreamSnapshot {
    return {
      upstreams: [...this.roster.values()],
      replicas: [...this.chains.values()],
      left: [...this.left],
    };
  }

  restore(snapshot: UpstreamSnapshot): void {
    this.changes += 1;
    this.roster.clear();
    this.chains.clear();
    this.left.clear();
    for (const [upstream, incarnation] of snapshot.left) {
      this.left.set(upstream, incarnation);
    }
    for (const upstream of snapshot.upstreams) {
      this.roster.set(upstream.id, upstream);
    }
    for (const replica of snapshot.replicas) {
      this.chains.set(replica.id, replica);
    }
  }

  private up(upstream: Upstream): UpstreamOutcome {
    if (this.left.get(upstream.id) === upstream.incarnation) {
      return { kind: 'stale' };
    }
    const before = this.roster.get(upstream.id);
    this.roster.set(upstream.id, upstream);
    if (before && !sameLayers(before.role, upstream.role)) this.dropReplicasOf(upstream.id);
    return { kind: 'done' };
  }

  private down(upstream: UpstreamId, incarnation: string, left: boolean): UpstreamOutcome {
    if (left) this.rememberLeft(upstream, incarnation);
    if (this.roster.get(upstream)?.incarnation !== incarnation) {
      return { kind: 'stale' };
    }
    this.roster.delete(upstream);
    this.dropReplicasOf(upstream);
    return { kind: 'done' };
  }

  private dropReplicasOf(upstream: UpstreamId): void {
    for (const replica of [...this.chains.values()]) {
      if (replica.stages.includes(upstream)) {
        this.chains.delete(replica.id);
      }
    }
  }

  private rememberLeft(upstream: UpstreamId, incarnation: string): void {
    this.left.delete(upstream);
    this.left.set(upstream, incarnation);
    const oldest = this.left.keys().next().value;
    if (this.left.size > rememberedLeft && oldest) this.left.delete(oldest);
  }

  private plan(model: ModelId, replicas: readonly Replica[]): UpstreamOutcome {
    const missing = replicas.some((r) => r.stages.some((s) => !this.roster.has(s)));
    if (missing) {
      return { kind: 'stale' };
    }
    for (const replica of [...this.chains.values()]) {
      if (replica.model === model) {
        this.chains.delete(replica.id);
      }
    }
    for (const replica of replicas) {
      this.chains.set(replica.id, replica);
    }
    return { kind: 'done' };
  }
}

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
    }
  | { readonly kind: 'plan'; readonly model: ModelId; readonly replicas: readonly Replica[] };

/** What became of a change of upstreams or replicas. */
export type UpstreamOutcome = { readonly kind: 'done' } | { readonly kind: 'stale' };

/** Upstreams and replicas as a snapshot holds them. */
export interface UpstreamImage {
  readonly upstreams: readonly Upstream[];
  readonly replicas: readonly Replica[];
}

/** Keeps upstreams and replicas. A replica never outlives one of its stages. */
export class UpstreamTable {
  private readonly roster = new Map<UpstreamId, Upstream>();
  private readonly chains = new Map<ReplicaId, Replica>();
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
        this.roster.set(command.upstream.id, command.upstream);
        return { kind: 'done' };
      case 'upstream-down':
        return this.down(command.upstream, command.incarnation);
      case 'plan':
        return this.plan(command.model, command.replicas);
      default:
        return unreachable(command);
    }
  }

  image(): UpstreamImage {
    return { upstreams: [...this.roster.values()], replicas: [...this.chains.values()] };
  }

  restore(image: UpstreamImage): void {
    this.changes += 1;
    this.roster.clear();
    this.chains.clear();
    for (const upstream of image.upstreams) {
      this.roster.set(upstream.id, upstream);
    }
    for (const replica of image.replicas) {
      this.chains.set(replica.id, replica);
    }
  }

  private down(upstream: UpstreamId, incarnation: string): UpstreamOutcome {
    if (this.roster.get(upstream)?.incarnation !== incarnation) {
      return { kind: 'stale' };
    }
    this.roster.delete(upstream);
    for (const replica of [...this.chains.values()]) {
      if (replica.stages.includes(upstream)) {
        this.chains.delete(replica.id);
      }
    }
    return { kind: 'done' };
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

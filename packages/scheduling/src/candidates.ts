/** The replicas of one owner that can serve a request. */

import type { ReplicaId } from '@tanagercart/base';
import type { AcquireCall, GrantedStage } from '@tanagercart/protocol';
import type { Replica, SharedState, Stage, Upstream } from '@tanagercart/state';
import { ReplicaLoad } from './replica.js';

/** An owned replica whose stages are all up, with its load. */
export interface Candidate {
  readonly replica: Replica;
  readonly upstreams: readonly Upstream[];
  readonly stages: readonly GrantedStage[];
  readonly load: ReplicaLoad;
}

export interface CandidatesOptions {
  readonly state: SharedState;
  readonly owns: (replica: Replica) => boolean;
  /** Whether the upstream is about to shut down and gets no new requests. */
  readonly isLeaving: (upstream: Upstream) => boolean;
}

type StageUpstream = Upstream & { readonly stage: Stage };

/** A replica that holds the model, version and adapter of a call, owned by this node or not. */
interface CompatibleReplica {
  readonly replica: Replica;
  readonly upstreams: readonly StageUpstream[];
  readonly stages: readonly GrantedStage[];
}

/** Stores the load of each replica and finds the replicas for a call. */
export class Candidates {
  private readonly loadById = new Map<ReplicaId, ReplicaLoad>();
  /** Compatible replicas by model, version and adapter, under the state at `compatibleAtIndex`. */
  private readonly compatible = new Map<string, readonly CompatibleReplica[]>();
  private compatibleAtIndex = -1;

  private constructor(private readonly o: CandidatesOptions) {}

  static create(o: CandidatesOptions): Candidates {
    return new Candidates(o);
  }

  /** The loads of all replicas that were candidates before, owned or not. */
  get loads(): Iterable<ReplicaLoad> {
    return this.loadById.values();
  }

  load(id: ReplicaId): ReplicaLoad | undefined {
    return this.loadById.get(id);
  }

  /**
   * The owned replicas that hold the model, version and adapter of a call, without those that the
   * call avoids and those with an upstream that is leaving.
   */
  find(call: AcquireCall): readonly Candidate[] {
    this.invalidate();
    const key = JSON.stringify([call.model, call.version, call.adapter]);
    const known = this.compatible.get(key) ?? this.findCompatible(call);
    this.compatible.set(key, known);
    // Ownership and leaving upstreams change without a change of the state, so they are not cached.
    return known
      .filter((s) => !call.avoid.includes(s.replica.id) && this.o.owns(s.replica))
      .filter((s) => !s.upstreams.some((u) => this.o.isLeaving(u)))
      .map((s) => ({ ...s, load: this.loadOrCreate(s) }));
  }

  /** Removes the loads of replicas that no longer exist and have no grants. */
  prune(): void {
    for (const load of this.loadById.values()) {
      if (load.running === 0 && !this.o.state.replicas.has(load.id)) this.loadById.delete(load.id);
    }
  }

  /** Clears the cache of compatible replicas where the state has changed. */
  private invalidate(): void {
    const { index } = this.o.state;
    if (index === this.compatibleAtIndex) return;
    this.compatible.clear();
    this.compatibleAtIndex = index;
  }

  private findCompatible(call: AcquireCall): readonly CompatibleReplica[] {
    const out: CompatibleReplica[] = [];
    for (const replica of this.o.state.replicas.values()) {
      if (replica.model !== call.model) continue;
      const upstreams = this.resolveStages(replica);
      if (upstreams?.every((s) => isCompatible(s.stage, call))) {
        out.push({ replica, upstreams, stages: upstreams.map(grantedStageOf) });
      }
    }
    return out;
  }

  private loadOrCreate({ replica, upstreams: stages }: CompatibleReplica): ReplicaLoad {
    const known = this.loadById.get(replica.id);
    if (known) return known;
    const slots = Math.min(...stages.map((s) => s.stage.slots));
    const rate = Math.min(...stages.map((s) => s.stage.tokensPerSecond));
    const load = ReplicaLoad.create(replica.id, slots, rate);
    this.loadById.set(replica.id, load);
    return load;
  }

  private resolveStages(replica: Replica): readonly StageUpstream[] | undefined {
    const stages: StageUpstream[] = [];
    for (const id of replica.stages) {
      const upstream = this.o.state.upstreams.get(id);
      if (upstream?.role.kind !== 'stage') return undefined;
      stages.push({ ...upstream, stage: upstream.role.stage });
    }
    return stages;
  }
}

function isCompatible(stage: Stage, call: AcquireCall): boolean {
  return (
    (call.version === undefined || stage.versions.includes(call.version)) &&
    (call.adapter === undefined || stage.adapters.includes(call.adapter))
  );
}

function grantedStageOf(s: StageUpstream): GrantedStage {
  return { upstream: s.id, url: s.url, from: s.stage.from, to: s.stage.to };
}

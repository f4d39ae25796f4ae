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
  /** Whether the upstream is draining: it is about to shut down and gets no new requests. */
  readonly isLeaving: (upstream: Upstream) => boolean;
}

type StageUpstream = Upstream & { readonly stage: Stage };

/** A replica that serves the model, version and adapter of a call, owned by this node or not. */
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

  /**
   * The loads of all replicas that `find` has returned so far and that `prune` has not removed; the
   * node may no longer own them.
   */
  get loads(): Iterable<ReplicaLoad> {
    return this.loadById.values();
  }

  load(id: ReplicaId): ReplicaLoad | undefined {
    return this.loadById.get(id);
  }

  /**
   * The owned replicas that serve the model, version and adapter of a call, without those that the
   * call avoids and those with an upstream that is draining.
   */
  find(call: AcquireCall): readonly Candidate[] {
    this.invalidate();
    const key = JSON.stringify([call.model, call.version, call.adapter]);
    const known = this.compatible.get(key) ?? this.findCompatible(call);
    this.compatible.set(key, known);
    // Ownership and draining change without a change of the state, so they are not cached.
    return known
      .filter((r) => !call.avoid.includes(r.replica.id) && this.o.owns(r.replica))
      .filter((r) => !r.upstreams.some((u) => this.o.isLeaving(u)))
      .map((r) => ({ ...r, load: this.loadOrCreate(r) }));
  }

  /** Removes the loads of replicas that no longer exist and have no grants. */
  prune(): void {
    for (const load of this.loadById.values()) {
      if (load.running === 0 && !this.o.state.replicas.has(load.id)) this.loadById.delete(load.id);
    }
  }

  /** Clears the cache of compatible replicas if the state has changed. */
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
      const upstreams = this.resolveUpstreams(replica);
      if (upstreams?.every((u) => isCompatible(u.stage, call))) {
        out.push({ replica, upstreams, stages: upstreams.map(grantedStageOf) });
      }
    }
    return out;
  }

  private loadOrCreate({ replica, upstreams }: CompatibleReplica): ReplicaLoad {
    const known = this.loadById.get(replica.id);
    if (known) return known;
    const slots = Math.min(...upstreams.map((u) => u.stage.slots));
    const rate = Math.min(...upstreams.map((u) => u.stage.tokensPerSecond));
    const load = ReplicaLoad.create(replica.id, slots, rate);
    this.loadById.set(replica.id, load);
    return load;
  }

  /** The upstreams of all stages; undefined if one is not up or serves no stage. */
  private resolveUpstreams(replica: Replica): readonly StageUpstream[] | undefined {
    const upstreams: StageUpstream[] = [];
    for (const id of replica.stages) {
      const upstream = this.o.state.upstreams.get(id);
      if (upstream?.role.kind !== 'stage') return undefined;
      upstreams.push({ ...upstream, stage: upstream.role.stage });
    }
    return upstreams;
  }
}

function isCompatible(stage: Stage, call: AcquireCall): boolean {
  return (
    (call.version === undefined || stage.versions.includes(call.version)) &&
    (call.adapter === undefined || stage.adapters.includes(call.adapter))
  );
}

function grantedStageOf(u: StageUpstream): GrantedStage {
  return { upstream: u.id, url: u.url, from: u.stage.from, to: u.stage.to };
}

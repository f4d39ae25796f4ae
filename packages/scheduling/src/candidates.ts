/** The replicas of one owner that may serve a request. */

import type { ReplicaId } from '@tanagercart/base';
import type { AcquireCall, GrantedStage } from '@tanagercart/protocol';
import type { Replica, SharedState, Stage, Upstream } from '@tanagercart/state';
import { ReplicaLoad } from './replica.js';

/** A replica whose stages are all up, with its load. */
export interface Candidate {
  readonly replica: Replica;
  readonly upstreams: readonly Upstream[];
  readonly stages: readonly GrantedStage[];
  readonly load: ReplicaLoad;
}

/** Which replicas and upstreams an owner may use. */
export interface Fleet {
  readonly state: SharedState;
  readonly owns: (replica: Replica) => boolean;
  readonly isLeaving: (upstream: Upstream) => boolean;
}

type StageUpstream = Upstream & { readonly stage: Stage };

/** A replica that serves a request, whoever owns it. */
interface Serving {
  readonly replica: Replica;
  readonly upstreams: readonly StageUpstream[];
  readonly stages: readonly GrantedStage[];
}

/** Keeps the load of each replica, and finds those that fit a request. */
export class Candidates {
  private readonly loads = new Map<ReplicaId, ReplicaLoad>();
  private readonly found = new Map<string, readonly Serving[]>();
  private foundAt = -1;

  private constructor(private readonly fleet: Fleet) {}

  static create(fleet: Fleet): Candidates {
    return new Candidates(fleet);
  }

  /** Every replica with a load, owned or not. */
  get known(): Iterable<ReplicaLoad> {
    return this.loads.values();
  }

  load(id: ReplicaId): ReplicaLoad | undefined {
    return this.loads.get(id);
  }

  /** The owned replicas that hold the model, version and adapter of a call. */
  of(call: AcquireCall): readonly Candidate[] {
    this.refresh();
    const key = JSON.stringify([call.model, call.version, call.adapter]);
    const known = this.found.get(key) ?? this.find(call);
    this.found.set(key, known);
    // Whether a replica may be granted changes with time, not only with the state.
    return known
      .filter((s) => !call.avoid.includes(s.replica.id) && this.fleet.owns(s.replica))
      .filter((s) => !s.upstreams.some((u) => this.fleet.isLeaving(u)))
      .map((s) => ({ ...s, load: this.loadOf(s) }));
  }

  /** Forgets replicas that are gone and hold no grant. */
  prune(): void {
    for (const load of this.loads.values()) {
      if (load.running === 0 && !this.fleet.state.replicas.has(load.id)) this.loads.delete(load.id);
    }
  }

  /** Forgets what was found under an earlier state. */
  private refresh(): void {
    const { index } = this.fleet.state;
    if (index === this.foundAt) return;
    this.found.clear();
    this.foundAt = index;
  }

  private find(call: AcquireCall): readonly Serving[] {
    const out: Serving[] = [];
    for (const replica of this.fleet.state.replicas.values()) {
      if (replica.model !== call.model) continue;
      const upstreams = this.stagesOf(replica);
      if (upstreams?.every((s) => serves(s.stage, call))) {
        out.push({ replica, upstreams, stages: upstreams.map(granted) });
      }
    }
    return out;
  }

  private loadOf({ replica, upstreams: stages }: Serving): ReplicaLoad {
    const known = this.loads.get(replica.id);
    if (known) return known;
    const slots = Math.min(...stages.map((s) => s.stage.slots));
    const rate = Math.min(...stages.map((s) => s.stage.tokensPerSecond));
    const load = ReplicaLoad.create(replica.id, slots, rate);
    this.loads.set(replica.id, load);
    return load;
  }

  private stagesOf(replica: Replica): readonly StageUpstream[] | undefined {
    const stages: StageUpstream[] = [];
    for (const id of replica.stages) {
      const upstream = this.fleet.state.upstreams.get(id);
      if (upstream?.role.kind !== 'stage') return undefined;
      stages.push({ ...upstream, stage: upstream.role.stage });
    }
    return stages;
  }
}

function serves(stage: Stage, call: AcquireCall): boolean {
  return (
    (call.version === undefined || stage.versions.includes(call.version)) &&
    (call.adapter === undefined || stage.adapters.includes(call.adapter))
  );
}

function granted(s: StageUpstream): GrantedStage {
  return { upstream: s.id, url: s.url, from: s.stage.from, to: s.stage.to };
}

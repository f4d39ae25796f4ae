/** Grants slots on the replicas that this node owns. */

import { GrantId } from '@tanagercart/base';
import type { Clock, Millis, NodeId, ReplicaId } from '@tanagercart/base';
import type {
  AcquireCall,
  AcquireReply,
  Grant,
  GrantedStage,
  ReleaseCall,
  ReleaseReply,
  Transport,
} from '@tanagercart/protocol';
import type { Replica, SharedState, Stage, Upstream } from '@tanagercart/state';

/** A grant that was not used for this long has lapsed, in milliseconds. */
const startWithinMs: Millis = 1000;

/** What a refused caller is told to wait, in milliseconds. */
const retryAfterMs: Millis = 500;

/** What an owner needs. */
export interface OwnerOptions {
  readonly self: NodeId;
  readonly state: SharedState;
  readonly clock: Clock;
  readonly transport: Transport;
  /** Whether this node may give grants at the moment. */
  readonly mayGrant: () => boolean;
  readonly owns: (replica: Replica) => boolean;
  readonly isLeaving: (upstream: Upstream) => boolean;
}

interface Held {
  readonly replica: ReplicaId;
  readonly givenAt: Millis;
}

interface Candidate {
  readonly replica: Replica;
  readonly stages: readonly (Upstream & { readonly stage: Stage })[];
}

/** The owner's side of admission for the replicas of one node. */
export class Owner {
  private readonly held = new Map<GrantId, Held>();
  private seq = 0;

  private constructor(private readonly o: OwnerOptions) {}

  static create(options: OwnerOptions): Owner {
    const owner = new Owner(options);
    options.transport.serve('acquire', async (_, call) => owner.acquire(call));
    options.transport.serve('release', async (_, call) => owner.release(call));
    return owner;
  }

  /** Grants in use. */
  get inUse(): number {
    return this.held.size;
  }

  private acquire(call: AcquireCall): AcquireReply {
    if (!this.o.mayGrant()) return refused('no-lease');
    const candidates = this.candidates(call);
    if (candidates.length === 0) return refused('no-replica');
    const free = candidates
      .map((c) => ({ c, room: slotsOf(c) - this.runningOn(c.replica.id) }))
      .filter((x) => x.room > 0)
      .sort((a, b) => b.room - a.room)[0];
    if (!free) return refused('promise-unreachable');
    return { kind: 'granted', grant: this.grant(call, free.c) };
  }

  private release(call: ReleaseCall): ReleaseReply {
    return { known: this.held.delete(call.grant) };
  }

  private grant(call: AcquireCall, c: Candidate): Grant {
    this.seq += 1;
    const id = GrantId(`${this.o.self}-${this.o.state.view}-${this.seq}`);
    this.held.set(id, { replica: c.replica.id, givenAt: this.o.clock.now() });
    const { state, self } = this.o;
    return {
      id,
      replica: c.replica.id,
      owner: self,
      epoch: state.view,
      startWithinMs,
      priority: 0,
      stages: c.stages.map(grantedStage),
    };
  }

  private runningOn(replica: ReplicaId): number {
    let n = 0;
    for (const held of this.held.values()) if (held.replica === replica) n += 1;
    return n;
  }

  private candidates(call: AcquireCall): readonly Candidate[] {
    const out: Candidate[] = [];
    for (const replica of this.o.state.replicas.values()) {
      if (replica.model !== call.model || call.avoid.includes(replica.id)) continue;
      if (!this.o.owns(replica)) continue;
      const candidate = this.candidate(replica);
      if (candidate && serves(candidate, call)) out.push(candidate);
    }
    return out;
  }

  private candidate(replica: Replica): Candidate | undefined {
    const stages: (Upstream & { readonly stage: Stage })[] = [];
    for (const id of replica.stages) {
      const upstream = this.o.state.upstreams.get(id);
      if (upstream?.role.kind !== 'stage' || this.o.isLeaving(upstream)) return undefined;
      stages.push({ ...upstream, stage: upstream.role.stage });
    }
    return { replica, stages };
  }
}

function serves(c: Candidate, call: AcquireCall): boolean {
  return c.stages.every(
    ({ stage }) =>
      (call.version === undefined || stage.versions.includes(call.version)) &&
      (call.adapter === undefined || stage.adapters.includes(call.adapter)),
  );
}

function slotsOf(c: Candidate): number {
  return Math.min(...c.stages.map((s) => s.stage.slots));
}

function grantedStage(s: Upstream & { readonly stage: Stage }): GrantedStage {
  return { upstream: s.id, url: s.url, from: s.stage.from, to: s.stage.to };
}

function refused(reason: 'no-lease' | 'no-replica' | 'promise-unreachable'): AcquireReply {
  return { kind: 'refused', reason, retryAfterMs };
}

/** Who owns which replica, and from when a new owner may give grants. */

import { hash32, mixHashes } from '@tanagercart/base';
import type { Clock, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { LiveNode, Replica, SharedState } from '@tanagercart/state';
import type { History } from './history.js';
import type { LeaseTiming } from './lease.js';
import { longestLeaseMs } from './lease.js';

/** Longest time between a grant and the start of its work, in milliseconds. */
const longestStartMs: Millis = 1000;

/** Pause between two questions to old owners, in milliseconds. */
const askPauseMs: Millis = 50;

/** How long one question may take, in milliseconds. */
const askTimeoutMs: Millis = 300;

/** What ownership needs. */
export interface OwnershipOptions {
  readonly self: NodeId;
  readonly incarnation: string;
  readonly history: History;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
}

/** One process that may own replicas. */
interface Process {
  readonly node: NodeId;
  readonly incarnation: string;
}

/** An earlier owner of a stage that may still grant, or whose grants may still start work. */
interface Barrier {
  /** Undefined where the earlier owner is not known. */
  readonly old: Process | undefined;
  /** Log index of the change of live nodes that took the stage away. */
  readonly view: number;
  until: Millis;
}

/**
 * Follows the shared state and tells who owns each replica. A stage that changes hands is barred
 * until the lease of its old owner has run out and the last of its grants has lapsed, so that two
 * owners never fill the same slots, whether or not the engine checks fencing numbers.
 */
export class Ownership {
  private readonly owners = new Map<UpstreamId, Process>();
  private readonly barriers = new Map<UpstreamId, Barrier[]>();
  private readonly choice = new Map<string, Process | undefined>();
  private seenView = -1;
  private seenRoster = -1;

  private constructor(private readonly o: OwnershipOptions) {}

  /** Starts to follow the state; older owners than those in it are not known. */
  static create(options: OwnershipOptions): Ownership {
    const ownership = new Ownership(options);
    const { history, incarnation, transport } = options;
    history.onChange((jumped) => ownership.observe(jumped));
    transport.serve('handover', async () => ({ view: history.state.view, incarnation }));
    return ownership;
  }

  /** The node that owns a replica now. */
  ownerOf(replica: Replica): NodeId | undefined {
    return this.processOf(replica)?.node;
  }

  /** Fencing number of grants under the current owners. */
  get epoch(): number {
    return this.o.history.state.view;
  }

  /** When this node may give grants on a replica; undefined where it does not own it. */
  grantsFrom(replica: Replica): Millis | undefined {
    const owner = this.processOf(replica);
    if (owner?.node !== this.o.self || owner.incarnation !== this.o.incarnation) return undefined;
    const bars = replica.stages.flatMap((s) => this.barriers.get(s) ?? []);
    return Math.max(-Infinity, ...bars.map((b) => b.until));
  }

  /** Whether this node may give grants on a replica now. */
  canGrant(replica: Replica): boolean {
    const from = this.grantsFrom(replica);
    return from !== undefined && from <= this.o.clock.now();
  }

  /** Task: asks old owners that are up whether they have stopped, to wait no longer than needed. */
  async pollPreviousOwners(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.forgetPassed();
      const asked = new Map<string, Barrier>();
      for (const b of this.open()) {
        if (b.old) asked.set(`${b.old.node}/${b.view}`, b);
      }
      await Promise.all([...asked.values()].map((b) => this.ask(b, signal)));
      await this.o.clock.sleep(askPauseMs, signal);
    }
  }

  private async ask({ old, view }: Barrier, signal: AbortSignal): Promise<void> {
    if (!old) return;
    const options = { timeoutMs: askTimeoutMs, signal };
    const reply = await this.o.transport.call(old.node, 'handover', { view }, options);
    if (reply.isErr() || reply.value.incarnation !== old.incarnation) return;
    const stoppedUpTo = reply.value.view;
    const until = this.o.clock.now() + longestStartMs;
    for (const b of this.open()) {
      const same = b.old?.node === old.node && b.old.incarnation === old.incarnation;
      if (same && b.view <= stoppedUpTo) b.until = Math.min(b.until, until);
    }
  }

  /** Barriers that a question could shorten. */
  private open(): readonly Barrier[] {
    const latest = this.o.clock.now() + longestStartMs;
    return [...this.barriers.values()].flat().filter((b) => b.until > latest);
  }

  /** Compares owners before and after a change of the state. */
  private observe(jumped: boolean): void {
    const { state } = this.o.history;
    if (!jumped && state.view === this.seenView && state.rosterVersion === this.seenRoster) return;
    this.choice.clear();
    this.seenView = state.view;
    this.seenRoster = state.rosterVersion;
    const now = new Map<UpstreamId, Process>();
    for (const replica of state.replicas.values()) {
      const owner = this.processOf(replica);
      for (const stage of owner ? replica.stages : []) now.set(stage, owner!);
    }
    // Owners between the two ends of a jump are not known, nor those before a first snapshot.
    if (jumped) for (const stage of now.keys()) this.bar(stage, undefined);
    for (const [stage, old] of this.owners) {
      if (!sameProcess(now.get(stage), old)) this.bar(stage, old);
    }
    this.replaceOwners(now);
  }

  private replaceOwners(now: ReadonlyMap<UpstreamId, Process>): void {
    this.owners.clear();
    for (const [stage, owner] of now) this.owners.set(stage, owner);
  }

  private bar(stage: UpstreamId, old: Process | undefined): void {
    const { clock, self, incarnation, history } = this.o;
    if (old?.node === self && old.incarnation === incarnation) return;
    const until = clock.now() + this.leaseLeftOf(old) + longestStartMs;
    const bars = this.barriers.get(stage) ?? [];
    bars.push({ old, view: history.state.view, until });
    this.barriers.set(stage, bars);
  }

  /** How long an old owner may still hold a lease, counted from now. */
  private leaseLeftOf(old: Process | undefined): Millis {
    const stopped = old && this.o.history.state.hasStopped(old.node, old.incarnation);
    return stopped ? 0 : longestLeaseMs(this.o.timing);
  }

  private forgetPassed(): void {
    const now = this.o.clock.now();
    for (const [stage, bars] of this.barriers) {
      const left = bars.filter((b) => b.until > now);
      if (left.length > 0) this.barriers.set(stage, left);
      else this.barriers.delete(stage);
    }
  }

  private processOf(replica: Replica): Process | undefined {
    const { state } = this.o.history;
    const [first] = replica.stages;
    const dataCentre = (first && state.upstreams.get(first)?.dataCentre) ?? '';
    const key = `${replica.id}|${dataCentre}`;
    if (!this.choice.has(key)) this.choice.set(key, choose(state, replica.id, dataCentre));
    return this.choice.get(key);
  }
}

function sameProcess(a: Process | undefined, b: Process): boolean {
  return a?.node === b.node && a.incarnation === b.incarnation;
}

/** The best live node for `name` by rendezvous hashing, those in `dataCentre` first. */
function choose(state: SharedState, name: string, dataCentre: string): Process | undefined {
  const hash = hash32(name);
  let best: LiveNode | undefined;
  let bestWeight = -1;
  let bestNear = false;
  for (const node of state.nodes.values()) {
    const near = node.address.dataCentre === dataCentre;
    if (bestNear && !near) continue;
    const weight = mixHashes(hash, hash32(node.address.id));
    if (near === bestNear && weight <= bestWeight) continue;
    [best, bestWeight, bestNear] = [node, weight, near];
  }
  return best && { node: best.address.id, incarnation: best.incarnation };
}

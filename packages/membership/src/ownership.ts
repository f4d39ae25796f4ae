/** Determines which node owns a replica, and from when a new owner may issue grants. */

import { hash32, mixHashes } from '@tanagercart/base';
import type { Clock, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { LiveNode, Replica, SharedState } from '@tanagercart/state';
import type { History } from './history.js';
import type { LeaseTiming } from './lease.js';
import { longestLeaseMs } from './lease.js';

/** Longest time between the issue of a grant and the start of its work, in milliseconds. */
const maxGrantStartMs: Millis = 1000;

/** Interval at which previous owners are polled, in milliseconds. */
const pollIntervalMs: Millis = 50;

/** Deadline of one poll, in milliseconds. */
const pollTimeoutMs: Millis = 300;

/** Dependencies and settings of `Ownership`. */
export interface OwnershipOptions {
  readonly self: NodeId;
  readonly incarnation: string;
  readonly history: History;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
}

/** One process of a node; a restart of the node is another process. */
interface Process {
  readonly node: NodeId;
  readonly incarnation: string;
}

/**
 * Keeps the new owner of a stage from issuing grants while a previous owner may still issue some,
 * or while work may still start under them.
 */
interface Barrier {
  /** The previous owner; undefined where it is not known. */
  readonly previous: Process | undefined;
  /** Log index of the change of the live nodes that moved the stage. */
  readonly view: number;
  until: Millis;
}

/**
 * Computes the owner of each replica from the shared state. When a stage gets another owner, a
 * barrier holds until the lease of the previous owner has expired and the last of its grants has
 * lapsed. Two owners therefore never fill the same slots, whether or not the engine checks fencing
 * tokens.
 */
export class Ownership {
  private readonly stageOwners = new Map<UpstreamId, Process>();
  private readonly barriers = new Map<UpstreamId, Barrier[]>();
  /** Owners computed since the last change of the state, by replica and data centre. */
  private readonly cache = new Map<string, Process | undefined>();
  /** Versions of the state from which `stageOwners` was computed. */
  private view = -1;
  private rosterVersion = -1;

  private constructor(private readonly o: OwnershipOptions) {}

  /** Starts to observe the state; owners before those in the present state are not known. */
  static create(options: OwnershipOptions): Ownership {
    const ownership = new Ownership(options);
    const { history, incarnation, transport } = options;
    history.onChange((restored) => ownership.observe(restored));
    transport.serve('handover', async () => ({ view: history.state.view, incarnation }));
    return ownership;
  }

  /** The node that owns a replica now; undefined while no node is recorded. */
  ownerOf(replica: Replica): NodeId | undefined {
    return this.ownerProcessOf(replica)?.node;
  }

  /** The fencing token of grants under the present owners. */
  get epoch(): number {
    return this.o.history.state.view;
  }

  /** Time from which this node may issue grants on a replica; undefined if it is not the owner. */
  grantableFrom(replica: Replica): Millis | undefined {
    const owner = this.ownerProcessOf(replica);
    if (owner?.node !== this.o.self || owner.incarnation !== this.o.incarnation) return undefined;
    const barriers = replica.stages.flatMap((s) => this.barriers.get(s) ?? []);
    return Math.max(-Infinity, ...barriers.map((b) => b.until));
  }

  /** Whether this node owns a replica and may issue grants on it now. */
  canGrant(replica: Replica): boolean {
    const from = this.grantableFrom(replica);
    return from !== undefined && from <= this.o.clock.now();
  }

  /**
   * Task: asks previous owners that are up whether they have applied the change that took a stage
   * from them. Once one has, its barrier need not wait for its lease to expire.
   */
  async pollPreviousOwners(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.deleteExpired();
      const polls = new Map<string, Barrier>();
      for (const b of this.shortenable()) {
        if (b.previous) polls.set(`${b.previous.node}/${b.view}`, b);
      }
      await Promise.all([...polls.values()].map((b) => this.poll(b, signal)));
      await this.o.clock.sleep(pollIntervalMs, signal);
    }
  }

  private async poll({ previous, view }: Barrier, signal: AbortSignal): Promise<void> {
    if (!previous) return;
    const options = { timeoutMs: pollTimeoutMs, signal };
    const reply = await this.o.transport.call(previous.node, 'handover', { view }, options);
    if (reply.isErr() || reply.value.incarnation !== previous.incarnation) return;
    const appliedView = reply.value.view;
    const until = this.o.clock.now() + maxGrantStartMs;
    for (const b of this.shortenable()) {
      const same =
        b.previous?.node === previous.node && b.previous.incarnation === previous.incarnation;
      if (same && b.view <= appliedView) b.until = Math.min(b.until, until);
    }
  }

  /** The barriers that a reply of a previous owner could shorten. */
  private shortenable(): readonly Barrier[] {
    const earliest = this.o.clock.now() + maxGrantStartMs;
    return [...this.barriers.values()].flat().filter((b) => b.until > earliest);
  }

  /** Compares the owners before and after a change of the state. */
  private observe(restored: boolean): void {
    const { state } = this.o.history;
    if (!restored && state.view === this.view && state.rosterVersion === this.rosterVersion) return;
    this.cache.clear();
    this.view = state.view;
    this.rosterVersion = state.rosterVersion;
    const owners = new Map<UpstreamId, Process>();
    for (const replica of state.replicas.values()) {
      const owner = this.ownerProcessOf(replica);
      for (const stage of owner ? replica.stages : []) owners.set(stage, owner!);
    }
    // A snapshot skips intermediate states, so other nodes may have owned a stage in the meantime.
    // The owners before the first snapshot are not known either.
    if (restored) for (const stage of owners.keys()) this.addBarrier(stage, undefined);
    for (const [stage, previous] of this.stageOwners) {
      if (!isSameProcess(owners.get(stage), previous)) this.addBarrier(stage, previous);
    }
    this.replaceStageOwners(owners);
  }

  private replaceStageOwners(owners: ReadonlyMap<UpstreamId, Process>): void {
    this.stageOwners.clear();
    for (const [stage, owner] of owners) this.stageOwners.set(stage, owner);
  }

  private addBarrier(stage: UpstreamId, previous: Process | undefined): void {
    const { clock, self, incarnation, history } = this.o;
    if (previous?.node === self && previous.incarnation === incarnation) return;
    const until = clock.now() + this.maxLeaseLeftMs(previous) + maxGrantStartMs;
    const barriers = this.barriers.get(stage) ?? [];
    barriers.push({ previous, view: history.state.view, until });
    this.barriers.set(stage, barriers);
  }

  /** Longest time for which a previous owner can still hold a lease, from now, in milliseconds. */
  private maxLeaseLeftMs(previous: Process | undefined): Millis {
    const stopped =
      previous && this.o.history.state.hasStopped(previous.node, previous.incarnation);
    return stopped ? 0 : longestLeaseMs(this.o.timing);
  }

  private deleteExpired(): void {
    const now = this.o.clock.now();
    for (const [stage, barriers] of this.barriers) {
      const left = barriers.filter((b) => b.until > now);
      if (left.length > 0) this.barriers.set(stage, left);
      else this.barriers.delete(stage);
    }
  }

  private ownerProcessOf(replica: Replica): Process | undefined {
    const { state } = this.o.history;
    const [first] = replica.stages;
    const dataCentre = (first && state.upstreams.get(first)?.dataCentre) ?? '';
    const key = `${replica.id}|${dataCentre}`;
    if (!this.cache.has(key)) this.cache.set(key, chooseOwner(state, replica.id, dataCentre));
    return this.cache.get(key);
  }
}

function isSameProcess(a: Process | undefined, b: Process): boolean {
  return a?.node === b.node && a.incarnation === b.incarnation;
}

/**
 * The first of the live nodes by rendezvous hashing for `name`. Nodes in `dataCentre` come before
 * all others.
 */
function chooseOwner(state: SharedState, name: string, dataCentre: string): Process | undefined {
  const hash = hash32(name);
  let best: LiveNode | undefined;
  let bestWeight = -1;
  let bestIsLocal = false;
  for (const node of state.nodes.values()) {
    const isLocal = node.address.dataCentre === dataCentre;
    if (bestIsLocal && !isLocal) continue;
    const weight = mixHashes(hash, hash32(node.address.id));
    if (isLocal === bestIsLocal && weight <= bestWeight) continue;
    [best, bestWeight, bestIsLocal] = [node, weight, isLocal];
  }
  return best && { node: best.address.id, incarnation: best.incarnation };
}

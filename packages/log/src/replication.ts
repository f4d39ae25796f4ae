/** Replication by the leader: one task for each peer keeps the peer's log equal to this one. */

import { invariant } from '@tanagercart/base';
import type { Millis, NodeId } from '@tanagercart/base';
import type { AppendCall, AppendReply, Member, SnapshotCall } from '@tanagercart/protocol';
import type { Applier } from './applier.js';
import type { Core } from './core.js';
import type { Snapshot } from './store.js';

/** Share of the election time for which a leader trusts its lease, as clocks may run apart. */
const leaseShare = 0.9;

/** What the leader knows of one peer. */
interface Peer {
  readonly id: NodeId;
  readonly disk: string;
  next: number;
  match: number;
  /** When the last answered call was sent. */
  heardAt: Millis;
}

/** What one call to a peer leads to. */
type Step = 'more' | 'idle';

/** The leader's side of the log. */
export class Replication {
  private peers = new Map<NodeId, Peer>();

  private constructor(
    private readonly core: Core,
    private readonly applier: Applier,
  ) {}

  static create(core: Core, applier: Applier): Replication {
    return new Replication(core, applier);
  }

  /** Whether this voter leads, and no other can: a quorum answered within the shortest election time. */
  get holdsLease(): boolean {
    const { core, applier } = this;
    if (core.role !== 'leader' || core.handingOver || core.stopped) return false;
    if (core.store.termAt(applier.commit) !== core.term) return false;
    const { clock, timing } = core.o;
    return this.quorumHeardAt() + timing.electionMs * leaseShare > clock.now();
  }

  /** Takes the lead of `term`: starts a task for each peer and an entry of the own term. */
  async lead(term: number): Promise<void> {
    const { core } = this;
    core.becomeLeader();
    core.o.logger.info('Leading.', { term });
    this.peers = new Map();
    this.startPeers();
    await core.exclusively(async () => {
      if (!core.leads(term)) return;
      const entry = { index: core.store.lastIndex + 1, term, payload: { kind: 'noop' } as const };
      if (core.saved(await core.store.append([entry]))) core.voters.append([entry]);
    });
    this.advanceCommit();
    core.wake.ring();
  }

  /** Starts a task for each member that has none; tasks of former members end by themselves. */
  startPeers(): void {
    const { core } = this;
    const others = core.voters.members.filter((m) => m.id !== core.o.self);
    for (const [id, peer] of this.peers) {
      if (!others.some((m) => m.id === id && m.disk === peer.disk)) this.peers.delete(id);
    }
    for (const member of others.filter((m) => !this.peers.has(m.id))) this.startPeer(member);
  }

  /** The highest index known to be stored by a member; 0 where it is not followed. */
  matchOf(id: NodeId): number {
    return this.peers.get(id)?.match ?? 0;
  }

  /** Whether a member answered within the last `ms`. */
  heardWithin(id: NodeId, ms: Millis): boolean {
    if (id === this.core.o.self) return true;
    const peer = this.peers.get(id);
    return peer !== undefined && peer.heardAt + ms > this.core.o.clock.now();
  }

  /** Steps down when no quorum was heard for two election times. */
  checkQuorum(): void {
    const { core } = this;
    const { clock, timing, logger } = core.o;
    core.heardAt = clock.now();
    if (this.quorumHeardAt() + timing.electionMs * 2 >= clock.now()) return;
    logger.warn('Lost touch with a quorum, stepping down.', { term: core.term });
    core.follow(undefined);
  }

  /** Commits what a quorum has stored. */
  advanceCommit(): void {
    const { core, applier } = this;
    if (core.role !== 'leader') return;
    const index = core.voters.reachedByQuorum((m) => this.storedBy(m));
    // Only entries of the own term are committed by counting (Raft, section 5.4.2).
    if (index > applier.commit && core.store.termAt(index) === core.term) applier.commitTo(index);
  }

  /** Hands leadership to the voter that is furthest; whether another leads now. */
  async handOver(): Promise<boolean> {
    const { core } = this;
    const { term } = core;
    const target = this.furthest();
    if (!target || !core.leads(term)) return false;
    core.handingOver = true;
    const { clock, timing, transport } = core.o;
    const deadline = clock.now() + timing.electionMs * 2;
    while (target.match < core.store.lastIndex && core.leads(term) && clock.now() < deadline) {
      await core.changed.waitUpTo(timing.heartbeatMs, clock, core.stopping.signal);
    }
    const ready = target.match === core.store.lastIndex;
    if (core.leads(term) && ready) {
      await transport.call(target.id, 'transfer', { term }, { timeoutMs: timing.electionMs });
    }
    while (core.leads(term) && clock.now() < deadline) {
      await core.changed.waitUpTo(timing.heartbeatMs, clock, core.stopping.signal);
    }
    // A transfer that arrives late overrides the promises on which the lease rests.
    if (core.leads(term) && ready) core.follow(undefined);
    core.handingOver = false;
    return !core.leads(term);
  }

  private furthest(): Peer | undefined {
    const { core } = this;
    const peers = [...this.peers.values()].filter(
      (p) => core.voters.isVoter(p.id, p.disk) && this.heardWithin(p.id, core.o.timing.electionMs),
    );
    return peers.sort((a, b) => b.match - a.match)[0];
  }

  private storedBy(member: Member): number {
    const { core } = this;
    if (member.id === core.o.self) {
      return member.disk === core.store.diskId ? core.store.lastIndex : 0;
    }
    return this.matchOf(member.id);
  }

  private quorumHeardAt(): Millis {
    const { core } = this;
    const now = core.o.clock.now();
    return core.voters.reachedByQuorum((m) =>
      m.id === core.o.self ? now : (this.peers.get(m.id)?.heardAt ?? -Infinity),
    );
  }

  private startPeer(member: Member): void {
    const { core } = this;
    const { term } = core;
    const peer: Peer = {
      ...member,
      next: core.store.lastIndex + 1,
      match: 0,
      heardAt: core.o.clock.now() - core.o.timing.electionMs,
    };
    this.peers.set(member.id, peer);
    core.tasks.start(() => this.replicate(peer, term));
  }

  /** Task, one for each peer: one call in flight, of a bounded size. */
  private async replicate(peer: Peer, term: number): Promise<void> {
    const { core } = this;
    const { clock, timing } = core.o;
    const current = () => core.leads(term) && this.peers.get(peer.id) === peer;
    while (current()) {
      const snapshot = this.snapshotFor(peer);
      const step = snapshot
        ? await this.sendSnapshot(peer, term, snapshot)
        : await this.sendEntries(peer, term);
      if (current() && step === 'idle') {
        await core.wake.waitUpTo(timing.heartbeatMs, clock, core.stopping.signal);
      }
    }
  }

  /** The snapshot, where the peer needs it or where it is less than the log that the peer lacks. */
  private snapshotFor(peer: Peer): Snapshot | undefined {
    const { store } = this.core;
    const { snapshot } = store;
    if (!snapshot || peer.next > snapshot.index) return undefined;
    if (peer.next < store.firstIndex) return snapshot;
    return store.bytesFrom(peer.next) > snapshot.data.length ? snapshot : undefined;
  }

  private async sendEntries(peer: Peer, term: number): Promise<Step> {
    const { core } = this;
    const { clock, timing, transport } = core.o;
    const call = this.appendCall(peer, term);
    const sentAt = clock.now();
    const options = { timeoutMs: timing.heartbeatMs * 3, signal: core.stopping.signal };
    const reply = await transport.call(peer.id, 'append', call, options);
    if (reply.isErr() || !(await this.accepts(peer, term, reply.value, sentAt))) return 'idle';
    this.onAppendReply(peer, call, reply.value);
    return peer.next > core.store.lastIndex ? 'idle' : 'more';
  }

  private appendCall(peer: Peer, term: number): AppendCall {
    const { store, o } = this.core;
    const prevIndex = peer.next - 1;
    return {
      term,
      leader: o.self,
      disk: peer.disk,
      prevIndex,
      prevTerm: store.termAt(prevIndex) ?? 0,
      entries: store.slice(peer.next, o.limits.batchEntries, o.limits.batchBytes),
      commit: this.applier.commit,
    };
  }

  private onAppendReply(peer: Peer, call: AppendCall, reply: AppendReply): void {
    if (!reply.ok) {
      invariant(call.prevIndex > peer.match, 'a peer keeps what it has acknowledged');
      peer.next = Math.max(1, peer.match + 1, Math.min(peer.next - 1, reply.lastIndex + 1));
      return;
    }
    this.matched(peer, call.prevIndex + call.entries.length);
  }

  private matched(peer: Peer, index: number): void {
    peer.match = Math.max(peer.match, index);
    peer.next = peer.match + 1;
    this.advanceCommit();
    this.core.changed.ring();
  }

  /** Whether a reply counts: same term, and from the disk that the voter set names. */
  private async accepts(
    peer: Peer,
    term: number,
    reply: { readonly term: number; readonly disk: string },
    sentAt: Millis,
  ): Promise<boolean> {
    const { core } = this;
    if (!core.leads(term) || reply.disk !== peer.disk) return false;
    if (reply.term > term) {
      await core.learnTerm(reply.term);
      return false;
    }
    peer.heardAt = Math.max(peer.heardAt, sentAt);
    return true;
  }

  /** Sends a snapshot in parts; the peer's replies tell where the next part starts. */
  private async sendSnapshot(peer: Peer, term: number, snapshot: Snapshot): Promise<Step> {
    const { core } = this;
    const { clock, timing, transport, logger } = core.o;
    logger.info('Sending a snapshot.', { peer: peer.id, index: snapshot.index });
    let offset = 0;
    for (;;) {
      const call = this.snapshotCall(peer, term, snapshot, offset);
      const sentAt = clock.now();
      const options = { timeoutMs: timing.electionMs * 2, signal: core.stopping.signal };
      const reply = await transport.call(peer.id, 'snapshot', call, options);
      if (reply.isErr() || !(await this.accepts(peer, term, reply.value, sentAt))) return 'idle';
      const { held } = reply.value;
      if (call.done && held === snapshot.data.length) break;
      offset = Math.min(held, snapshot.data.length);
    }
    this.matched(peer, snapshot.index);
    return 'more';
  }

  private snapshotCall(peer: Peer, term: number, snapshot: Snapshot, offset: number): SnapshotCall {
    const { self, limits } = this.core.o;
    const data = snapshot.data.subarray(offset, offset + limits.chunkBytes);
    return {
      term,
      leader: self,
      disk: peer.disk,
      index: snapshot.index,
      indexTerm: snapshot.term,
      config: snapshot.config,
      offset,
      data,
      done: offset + data.length === snapshot.data.length,
    };
  }
}

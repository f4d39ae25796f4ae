/** The leader's side of replication. One background task for each peer updates the peer's log. */

import { invariant } from '@tanagercart/base';
import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { AppendCall, AppendReply, Member, SnapshotCall } from '@tanagercart/protocol';
import type { Applier } from './applier.js';
import type { RaftState } from './raftstate.js';
import type { Snapshot } from './store.js';

/**
 * Fraction of the shortest election timeout for which a lease is valid; the rest is a margin for
 * clock drift.
 */
const leaseFraction = 0.9;

/** Replication progress of one peer. */
interface Peer {
  readonly id: NodeId;
  readonly disk: string;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index up to which the peer's log is known to equal this one. */
  matchIndex: number;
  /** Time at which the leader sent the latest call that the peer has answered. */
  answeredAt: Millis;
  /** The same by `Clock.latest`; the lease of the leader rests on it. */
  leasedAt: Millis;
}

/** When a call was sent, by both times of the clock. */
interface SendTime {
  readonly now: Millis;
  readonly latest: Millis;
}

/** Whether there is more to send to a peer after one call. */
type SendOutcome = 'more' | 'idle';

/** Replicates the leader's log and advances the commit index. */
export class Replication {
  private peers = new Map<NodeId, Peer>();

  private constructor(
    private readonly state: RaftState,
    private readonly applier: Applier,
  ) {}

  static create(state: RaftState, applier: Applier): Replication {
    return new Replication(state, applier);
  }

  /**
   * Whether this node is the leader and no other node can be. It has committed an entry of its
   * term, and a quorum has answered calls that were sent within the shortest election timeout, less
   * a margin for clock drift. A voter that has answered a call grants no vote within that timeout.
   */
  get holdsLease(): boolean {
    const { state, applier } = this;
    if (state.role !== 'leader' || state.transferring || state.stopped) return false;
    if (state.store.termAt(applier.commitIndex) !== state.term) return false;
    const { clock, timing } = state.o;
    const leasedAt = this.quorumTime(clock.latest(), (peer) => peer.leasedAt);
    return leasedAt + timing.electionMs * leaseFraction > clock.latest();
  }

  /** Becomes the leader of `term`: starts a task for each peer and appends an entry of the term. */
  async startLeading(term: number): Promise<void> {
    const { state } = this;
    state.becomeLeader();
    state.o.logger.info('Became the leader.', { term });
    this.peers = new Map();
    this.reconcilePeers();
    await state.exclusive(async () => {
      if (!state.leads(term)) return;
      const entry = { index: state.store.lastIndex + 1, term, payload: { kind: 'noop' } as const };
      if (state.noteWrite(await state.store.append([entry]))) state.voters.append([entry]);
    });
    this.advanceCommit();
    state.sendDue.ring();
  }

  /** Starts a task for each new member; the tasks of former members notice the change and end. */
  reconcilePeers(): void {
    const { state } = this;
    const others = state.voters.members.filter((m) => m.id !== state.o.self);
    for (const [id, peer] of this.peers) {
      if (!others.some((m) => m.id === id && m.disk === peer.disk)) this.peers.delete(id);
    }
    for (const member of others.filter((m) => !this.peers.has(m.id))) this.startPeer(member);
  }

  /** Highest index that member `id` is known to have stored; 0 for a node that has no peer task. */
  matchIndexOf(id: NodeId): number {
    return this.peers.get(id)?.matchIndex ?? 0;
  }

  /** Whether this leader sent a call within the last `ms` that member `id` answered. */
  answeredWithin(id: NodeId, ms: Millis): boolean {
    if (id === this.state.o.self) return true;
    const peer = this.peers.get(id);
    return peer !== undefined && peer.answeredAt + ms > this.state.o.clock.now();
  }

  /** Whether member `id` answered a call that this leader sent at `time` or later. */
  answeredSince(id: NodeId, time: Millis): boolean {
    if (id === this.state.o.self) return true;
    return (this.peers.get(id)?.answeredAt ?? -Infinity) >= time;
  }

  /** Steps down if no quorum has answered calls sent within twice the shortest election timeout. */
  checkQuorum(): void {
    const { state } = this;
    const { clock, timing, logger } = state.o;
    state.timerAt = clock.now();
    const answeredAt = this.quorumTime(clock.now(), (peer) => peer.answeredAt);
    if (answeredAt + timing.electionMs * 2 >= clock.now()) return;
    const silentMs = Math.round(clock.now() - answeredAt);
    logger.warn('Lost touch with a quorum, stepping down.', { term: state.term, silentMs });
    state.stepDown(undefined);
  }

  /** Commits the entries that a quorum has stored. */
  advanceCommit(): void {
    const { state, applier } = this;
    if (state.role !== 'leader') return;
    const max = state.voters.quorumValue((m) => this.storedIndexOf(m));
    // Only entries of the leader's term are committed by counting replicas (Raft, section 5.4.2).
    if (max > applier.commitIndex && state.store.termAt(max) === state.term) applier.commitTo(max);
  }

  /**
   * Transfers leadership to the voter with the highest match index that is not among `avoided`.
   * Resolves to whether this node stopped leading; it may still lead if no voter was ready within
   * twice the shortest election timeout. A voter that the request did not reach is passed over.
   */
  async transfer(avoided: ReadonlySet<NodeId> = new Set()): Promise<boolean> {
    const { state } = this;
    const { term } = state;
    const target = this.mostUpToDatePeer(avoided);
    if (!target || !state.leads(term)) return false;
    state.transferring = true;
    const { clock, timing, transport } = state.o;
    const deadline = clock.now() + timing.electionMs * 2;
    while (
      target.matchIndex < state.store.lastIndex &&
      state.leads(term) &&
      clock.now() < deadline
    ) {
      await state.changed.waitUpTo(timing.heartbeatMs, clock, state.stopping.signal);
    }
    const ready = target.matchIndex === state.store.lastIndex;
    if (state.leads(term) && ready) {
      const options = { timeoutMs: timing.electionMs };
      const reply = await transport.call(target.id, 'transfer', { term }, options);
      if (reply.isErr() && reply.error.kind === 'unreachable') {
        state.transferring = false;
        if (!state.leads(term)) return true;
        return this.transfer(new Set([...avoided, target.id]));
      }
    }
    while (state.leads(term) && clock.now() < deadline) {
      await state.changed.waitUpTo(timing.heartbeatMs, clock, state.stopping.signal);
    }
    // A transfer call that arrives late makes voters ignore the lease, so this node steps down.
    if (state.leads(term) && ready) state.stepDown(undefined);
    state.transferring = false;
    return !state.leads(term);
  }

  private mostUpToDatePeer(avoided: ReadonlySet<NodeId>): Peer | undefined {
    const { state } = this;
    const peers = [...this.peers.values()].filter(
      (p) =>
        !avoided.has(p.id) &&
        state.voters.isVoter(p.id, p.disk) &&
        this.answeredWithin(p.id, state.o.timing.electionMs),
    );
    return peers.sort((a, b) => b.matchIndex - a.matchIndex)[0];
  }

  private storedIndexOf(member: Member): number {
    const { state } = this;
    if (member.id === state.o.self) {
      return member.disk === state.store.diskId ? state.store.lastIndex : 0;
    }
    return this.matchIndexOf(member.id);
  }

  /** The latest of the times of peers, with `own` for this node, that a quorum has reached. */
  private quorumTime(own: Millis, timeOf: (peer: Peer) => Millis): Millis {
    const { voters, o } = this.state;
    return voters.quorumValue((m) => {
      const peer = this.peers.get(m.id);
      if (m.id === o.self) return own;
      return peer ? timeOf(peer) : -Infinity;
    });
  }

  private startPeer(member: Member): void {
    const { state } = this;
    const { term } = state;
    const peer: Peer = {
      ...member,
      nextIndex: state.store.lastIndex + 1,
      matchIndex: 0,
      // As if the peer had answered a call sent this long ago, which is recent enough for the check
      // that a quorum answers.
      answeredAt: state.o.clock.now() - state.o.timing.electionMs,
      leasedAt: -Infinity,
    };
    this.peers.set(member.id, peer);
    state.tasks.start(() => this.replicate(peer, term));
  }

  /** Background task for one peer. At most one call of bounded size is in flight. */
  private async replicate(peer: Peer, term: number): Promise<void> {
    const { state } = this;
    const { clock, timing } = state.o;
    const isCurrent = () => state.leads(term) && this.peers.get(peer.id) === peer;
    while (isCurrent()) {
      const snapshot = this.snapshotFor(peer);
      const outcome = snapshot
        ? await this.sendSnapshot(peer, term, snapshot)
        : await this.sendEntries(peer, term);
      if (isCurrent() && outcome === 'idle') {
        await state.sendDue.waitUpTo(timing.heartbeatMs, clock, state.stopping.signal);
      }
    }
  }

  /** The snapshot, if the peer needs it or it is smaller than the entries that the peer lacks. */
  private snapshotFor(peer: Peer): Snapshot | undefined {
    const { store } = this.state;
    const { snapshot } = store;
    if (!snapshot || peer.nextIndex > snapshot.index) return undefined;
    if (peer.nextIndex < store.firstIndex) return snapshot;
    return store.bytesFrom(peer.nextIndex) > snapshot.data.length ? snapshot : undefined;
  }

  private async sendEntries(peer: Peer, term: number): Promise<SendOutcome> {
    const { state } = this;
    const { clock, timing, transport } = state.o;
    const call = this.appendCall(peer, term);
    const sentAt = sendTime(clock);
    const options = { timeoutMs: timing.heartbeatMs * 3, signal: state.stopping.signal };
    const reply = await transport.call(peer.id, 'append', call, options);
    if (reply.isErr() || !(await this.noteReply(peer, term, reply.value, sentAt))) return 'idle';
    this.handleAppendReply(peer, call, reply.value);
    return peer.nextIndex > state.store.lastIndex ? 'idle' : 'more';
  }

  private appendCall(peer: Peer, term: number): AppendCall {
    const { store, o } = this.state;
    const prevIndex = peer.nextIndex - 1;
    return {
      term,
      leader: o.self,
      disk: peer.disk,
      prevIndex,
      prevTerm: store.termAt(prevIndex) ?? 0,
      entries: store.slice(peer.nextIndex, o.limits.batchEntries, o.limits.batchBytes),
      commit: this.applier.commitIndex,
    };
  }

  private handleAppendReply(peer: Peer, call: AppendCall, reply: AppendReply): void {
    if (!reply.ok) {
      invariant(call.prevIndex > peer.matchIndex, 'a peer keeps what it has acknowledged');
      peer.nextIndex = Math.max(
        1,
        peer.matchIndex + 1,
        Math.min(peer.nextIndex - 1, reply.lastIndex + 1),
      );
      return;
    }
    this.advanceMatch(peer, call.prevIndex + call.entries.length);
  }

  /** Raises the match index of a peer to `index`. */
  private advanceMatch(peer: Peer, index: number): void {
    peer.matchIndex = Math.max(peer.matchIndex, index);
    peer.nextIndex = peer.matchIndex + 1;
    this.advanceCommit();
    this.state.changed.ring();
  }

  /**
   * Records that a peer has answered a call sent at `sentAt`. Returns false and records nothing if
   * this node no longer leads `term`, or if the reply is from another disk or of a later term, to
   * which this node then moves.
   */
  private async noteReply(
    peer: Peer,
    term: number,
    reply: { readonly term: number; readonly disk: string },
    sentAt: SendTime,
  ): Promise<boolean> {
    const { state } = this;
    if (!state.leads(term) || reply.disk !== peer.disk) return false;
    if (reply.term > term) {
      await state.observeTerm(reply.term);
      return false;
    }
    peer.answeredAt = Math.max(peer.answeredAt, sentAt.now);
    peer.leasedAt = Math.max(peer.leasedAt, sentAt.latest);
    return true;
  }

  /** Sends a snapshot in chunks; each reply contains the offset of the next chunk. */
  private async sendSnapshot(peer: Peer, term: number, snapshot: Snapshot): Promise<SendOutcome> {
    const { state } = this;
    const { clock, timing, transport, logger } = state.o;
    logger.info('Sending a snapshot.', { peer: peer.id, index: snapshot.index });
    let offset = 0;
    for (;;) {
      const call = this.snapshotCall(peer, term, snapshot, offset);
      const sentAt = sendTime(clock);
      const options = { timeoutMs: timing.electionMs * 2, signal: state.stopping.signal };
      const reply = await transport.call(peer.id, 'snapshot', call, options);
      if (reply.isErr() || !(await this.noteReply(peer, term, reply.value, sentAt))) return 'idle';
      const { held } = reply.value;
      if (call.done && held === snapshot.data.length) break;
      offset = Math.min(held, snapshot.data.length);
    }
    this.advanceMatch(peer, snapshot.index);
    return 'more';
  }

  private snapshotCall(peer: Peer, term: number, snapshot: Snapshot, offset: number): SnapshotCall {
    const { self, limits } = this.state.o;
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

function sendTime(clock: Clock): SendTime {
  return { now: clock.now(), latest: clock.latest() };
}

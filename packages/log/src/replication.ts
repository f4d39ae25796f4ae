/** The leader's side of replication. One background task for each peer updates the peer's log. */

import { invariant } from '@tanagercart/base';
import type { Millis, NodeId } from '@tanagercart/base';
import type { AppendCall, AppendReply, Member, SnapshotCall } from '@tanagercart/protocol';
import type { Applier } from './applier.js';
import type { RaftState } from './raftstate.js';
import type { Snapshot } from './store.js';

/** Fraction of the election timeout for which a lease is valid, to allow for clock drift. */
const leaseFraction = 0.9;

/** Replication progress of one peer. */
interface Peer {
  readonly id: NodeId;
  readonly disk: string;
  /** Index of the next entry to send. */
  nextIndex: number;
  /** Highest index up to which the peer's log is known to equal this one. */
  matchIndex: number;
  /** Time at which the leader sent the latest call that the peer answered. */
  lastContactAt: Millis;
}

/** Whether there is more to send to a peer after one call. */
type SendOutcome = 'more' | 'idle';

/** Replicates the leader's log and advances the commit index. */
export class Replication {
  private peers = new Map<NodeId, Peer>();

  private constructor(
    private readonly raft: RaftState,
    private readonly applier: Applier,
  ) {}

  static create(raft: RaftState, applier: Applier): Replication {
    return new Replication(raft, applier);
  }

  /**
   * Whether this node is the leader and no other node can be. It has committed an entry of its
   * term, and a quorum has answered calls that were sent within the shortest election timeout, less
   * a margin for clock drift. A voter that has answered a call grants no vote within that timeout.
   */
  get holdsLease(): boolean {
    const { raft, applier } = this;
    if (raft.role !== 'leader' || raft.transferringLeadership || raft.stopped) return false;
    if (raft.store.termAt(applier.commitIndex) !== raft.term) return false;
    const { clock, timing } = raft.options;
    return this.quorumContactAt() + timing.electionMs * leaseFraction > clock.now();
  }

  /** Becomes the leader of `term`: starts a task for each peer and appends an entry of the term. */
  async startLeading(term: number): Promise<void> {
    const { raft } = this;
    raft.becomeLeader();
    raft.options.logger.info('Became the leader.', { term });
    this.peers = new Map();
    this.reconcilePeers();
    await raft.runExclusive(async () => {
      if (!raft.isLeaderOf(term)) return;
      const entry = { index: raft.store.lastIndex + 1, term, payload: { kind: 'noop' } as const };
      if (raft.checkWrite(await raft.store.append([entry]))) raft.voters.append([entry]);
    });
    this.advanceCommit();
    raft.sendDue.ring();
  }

  /** Starts a task for each new member; the tasks of former members notice the change and end. */
  reconcilePeers(): void {
    const { raft } = this;
    const others = raft.voters.members.filter((m) => m.id !== raft.options.self);
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
  hasAnsweredWithin(id: NodeId, ms: Millis): boolean {
    if (id === this.raft.options.self) return true;
    const peer = this.peers.get(id);
    return peer !== undefined && peer.lastContactAt + ms > this.raft.options.clock.now();
  }

  /** Steps down if no quorum has answered for two election timeouts. */
  checkQuorum(): void {
    const { raft } = this;
    const { clock, timing, logger } = raft.options;
    raft.timerStart = clock.now();
    if (this.quorumContactAt() + timing.electionMs * 2 >= clock.now()) return;
    logger.warn('Lost touch with a quorum, stepping down.', { term: raft.term });
    raft.becomeFollower(undefined);
  }

  /** Commits the entries that a quorum has stored. */
  advanceCommit(): void {
    const { raft, applier } = this;
    if (raft.role !== 'leader') return;
    const index = raft.voters.valueReachedByQuorum((m) => this.storedIndexOf(m));
    // Only entries of the leader's term are committed by counting replicas (Raft, section 5.4.2).
    if (index > applier.commitIndex && raft.store.termAt(index) === raft.term) applier.apply(index);
  }

  /**
   * Transfers leadership to the voter with the highest match index. Resolves to whether this node
   * stopped leading; it may still lead if no voter was ready within two election timeouts.
   */
  async transferLeadership(): Promise<boolean> {
    const { raft } = this;
    const { term } = raft;
    const target = this.mostUpToDatePeer();
    if (!target || !raft.isLeaderOf(term)) return false;
    raft.transferringLeadership = true;
    const { clock, timing, transport } = raft.options;
    const deadline = clock.now() + timing.electionMs * 2;
    while (
      target.matchIndex < raft.store.lastIndex &&
      raft.isLeaderOf(term) &&
      clock.now() < deadline
    ) {
      await raft.changed.waitUpTo(timing.heartbeatMs, clock, raft.stopController.signal);
    }
    const ready = target.matchIndex === raft.store.lastIndex;
    if (raft.isLeaderOf(term) && ready) {
      await transport.call(target.id, 'transfer', { term }, { timeoutMs: timing.electionMs });
    }
    while (raft.isLeaderOf(term) && clock.now() < deadline) {
      await raft.changed.waitUpTo(timing.heartbeatMs, clock, raft.stopController.signal);
    }
    // A transfer call that arrives late makes voters ignore the lease, so this node steps down.
    if (raft.isLeaderOf(term) && ready) raft.becomeFollower(undefined);
    raft.transferringLeadership = false;
    return !raft.isLeaderOf(term);
  }

  private mostUpToDatePeer(): Peer | undefined {
    const { raft } = this;
    const peers = [...this.peers.values()].filter(
      (p) =>
        raft.voters.isVoter(p.id, p.disk) &&
        this.hasAnsweredWithin(p.id, raft.options.timing.electionMs),
    );
    return peers.sort((a, b) => b.matchIndex - a.matchIndex)[0];
  }

  private storedIndexOf(member: Member): number {
    const { raft } = this;
    if (member.id === raft.options.self) {
      return member.disk === raft.store.diskId ? raft.store.lastIndex : 0;
    }
    return this.matchIndexOf(member.id);
  }

  private quorumContactAt(): Millis {
    const { raft } = this;
    const now = raft.options.clock.now();
    return raft.voters.valueReachedByQuorum((m) =>
      m.id === raft.options.self ? now : (this.peers.get(m.id)?.lastContactAt ?? -Infinity),
    );
  }

  private startPeer(member: Member): void {
    const { raft } = this;
    const { term } = raft;
    const peer: Peer = {
      ...member,
      nextIndex: raft.store.lastIndex + 1,
      matchIndex: 0,
      lastContactAt: raft.options.clock.now() - raft.options.timing.electionMs,
    };
    this.peers.set(member.id, peer);
    raft.tasks.start(() => this.replicate(peer, term));
  }

  /** Background task for one peer. At most one call of bounded size is in flight. */
  private async replicate(peer: Peer, term: number): Promise<void> {
    const { raft } = this;
    const { clock, timing } = raft.options;
    const isCurrent = () => raft.isLeaderOf(term) && this.peers.get(peer.id) === peer;
    while (isCurrent()) {
      const snapshot = this.snapshotFor(peer);
      const outcome = snapshot
        ? await this.sendSnapshot(peer, term, snapshot)
        : await this.sendEntries(peer, term);
      if (isCurrent() && outcome === 'idle') {
        await raft.sendDue.waitUpTo(timing.heartbeatMs, clock, raft.stopController.signal);
      }
    }
  }

  /** The snapshot, if the peer needs it or it is smaller than the entries that the peer lacks. */
  private snapshotFor(peer: Peer): Snapshot | undefined {
    const { store } = this.raft;
    const { snapshot } = store;
    if (!snapshot || peer.nextIndex > snapshot.index) return undefined;
    if (peer.nextIndex < store.firstIndex) return snapshot;
    return store.bytesFrom(peer.nextIndex) > snapshot.data.length ? snapshot : undefined;
  }

  private async sendEntries(peer: Peer, term: number): Promise<SendOutcome> {
    const { raft } = this;
    const { clock, timing, transport } = raft.options;
    const call = this.createAppendCall(peer, term);
    const sentAt = clock.now();
    const options = { timeoutMs: timing.heartbeatMs * 3, signal: raft.stopController.signal };
    const reply = await transport.call(peer.id, 'append', call, options);
    if (reply.isErr() || !(await this.checkReply(peer, term, reply.value, sentAt))) return 'idle';
    this.handleAppendReply(peer, call, reply.value);
    return peer.nextIndex > raft.store.lastIndex ? 'idle' : 'more';
  }

  private createAppendCall(peer: Peer, term: number): AppendCall {
    const { store, options } = this.raft;
    const prevIndex = peer.nextIndex - 1;
    return {
      term,
      leader: options.self,
      disk: peer.disk,
      prevIndex,
      prevTerm: store.termAt(prevIndex) ?? 0,
      entries: store.slice(peer.nextIndex, options.limits.batchEntries, options.limits.batchBytes),
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
    this.raft.changed.ring();
  }

  /**
   * Whether a reply belongs to this term and comes from the disk in the voter set. Moves to the
   * term of the reply if it is later.
   */
  private async checkReply(
    peer: Peer,
    term: number,
    reply: { readonly term: number; readonly disk: string },
    sentAt: Millis,
  ): Promise<boolean> {
    const { raft } = this;
    if (!raft.isLeaderOf(term) || reply.disk !== peer.disk) return false;
    if (reply.term > term) {
      await raft.observeTerm(reply.term);
      return false;
    }
    peer.lastContactAt = Math.max(peer.lastContactAt, sentAt);
    return true;
  }

  /** Sends a snapshot in chunks; each reply contains the offset of the next chunk. */
  private async sendSnapshot(peer: Peer, term: number, snapshot: Snapshot): Promise<SendOutcome> {
    const { raft } = this;
    const { clock, timing, transport, logger } = raft.options;
    logger.info('Sending a snapshot.', { peer: peer.id, index: snapshot.index });
    let offset = 0;
    for (;;) {
      const call = this.createSnapshotCall(peer, term, snapshot, offset);
      const sentAt = clock.now();
      const options = { timeoutMs: timing.electionMs * 2, signal: raft.stopController.signal };
      const reply = await transport.call(peer.id, 'snapshot', call, options);
      if (reply.isErr() || !(await this.checkReply(peer, term, reply.value, sentAt))) return 'idle';
      const { held } = reply.value;
      if (call.done && held === snapshot.data.length) break;
      offset = Math.min(held, snapshot.data.length);
    }
    this.advanceMatch(peer, snapshot.index);
    return 'more';
  }

  private createSnapshotCall(
    peer: Peer,
    term: number,
    snapshot: Snapshot,
    offset: number,
  ): SnapshotCall {
    const { self, limits } = this.raft.options;
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

/** A replicated log after Ongaro and Ousterhout (2014), with pre-vote, check-quorum and a leader lease. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Bell, TaskGroup, invariant } from '@tanagercart/base';
import type { Clock, Logger, Millis, NodeId, Random } from '@tanagercart/base';
import type {
  AppendCall,
  AppendReply,
  LogEntry,
  LogPayload,
  Transport,
  VoteCall,
  VoteReply,
} from '@tanagercart/protocol';
import type { Store } from './store.js';

/** Delays of the protocol, in milliseconds. */
export interface Timing {
  readonly heartbeatMs: Millis;
  /** Least time without a leader before an election; the most is twice that. */
  readonly electionMs: Millis;
}

/** Timing for data centres within a few milliseconds of each other. */
export const defaultTiming: Timing = { heartbeatMs: 100, electionMs: 500 };

/** Entries sent in one message at most. */
const batchLimit = 256;

/** What a voter is at the moment. */
export type Role = 'follower' | 'candidate' | 'leader';

/** What the log drives: applies committed commands in order. */
export interface Machine {
  /** Applies a command; the outcome goes to its proposer. */
  apply(index: number, bytes: Uint8Array): Uint8Array;
}

/** What became of a committed proposal. */
export interface Applied {
  readonly index: number;
  readonly outcome: Uint8Array;
}

/** Why a proposal was not applied here. */
export type ProposeError =
  /** Not the leader: the command was not put into the log. */
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  /** Leadership was lost: the command may or may not be committed later. */
  | { readonly kind: 'unknown' };

/** What a voter needs to run. */
export interface RaftOptions {
  readonly self: NodeId;
  readonly voters: readonly NodeId[];
  readonly transport: Transport;
  readonly store: Store;
  readonly machine: Machine;
  readonly clock: Clock;
  readonly random: Random;
  readonly timing: Timing;
  readonly logger: Logger;
  readonly onBroken: (error: unknown) => void;
}

interface Waiting {
  readonly term: number;
  readonly settle: (result: Result<Applied, ProposeError>) => void;
}

interface Peer {
  next: number;
  match: number;
  /** When the last answered call was sent. */
  heardAt: Millis;
}

/** One voter of the replicated log. */
export class Raft {
  private current: Role = 'follower';
  private known: NodeId | undefined;
  private commit = 0;
  private appliedTo = 0;
  private lastHeard: Millis;
  private readonly peers = new Map<NodeId, Peer>();
  private readonly waiting = new Map<number, Waiting>();
  private readonly wake = Bell.create();
  private readonly stopping = new AbortController();
  private readonly tasks: TaskGroup;
  private writing: Promise<unknown> = Promise.resolve();

  private constructor(private readonly o: RaftOptions) {
    this.lastHeard = o.clock.now();
    this.tasks = TaskGroup.create(o.onBroken);
  }

  /** Starts a voter. */
  static create(options: RaftOptions): Raft {
    const raft = new Raft(options);
    options.transport.serve('vote', (_, call) => raft.onVote(call));
    options.transport.serve('append', (_, call) => raft.onAppend(call));
    raft.tasks.start(() => raft.watchLeader());
    return raft;
  }

  get role(): Role {
    return this.current;
  }

  get leader(): NodeId | undefined {
    return this.known;
  }

  get term(): number {
    return this.o.store.hard.term;
  }

  get commitIndex(): number {
    return this.commit;
  }

  /** Whether this voter leads, and no other can: a quorum answered within the shortest election time. */
  get holdsLease(): boolean {
    if (this.current !== 'leader') return false;
    if (this.o.store.termAt(this.commit) !== this.term) return false;
    return this.quorumHeardAt() + this.o.timing.electionMs * 0.9 > this.o.clock.now();
  }

  /** Puts a command into the log; resolves once it is applied here. */
  async propose(bytes: Uint8Array): Promise<Result<Applied, ProposeError>> {
    if (this.current !== 'leader') return err({ kind: 'not-leader', leader: this.known });
    const { term } = this;
    const index = await this.appendOwn({ kind: 'command', bytes }, term);
    if (index === undefined) return err({ kind: 'unknown' });
    if (this.appliedTo >= index || this.current !== 'leader') return err({ kind: 'unknown' });
    return new Promise((settle) => {
      this.waiting.set(index, { term, settle });
      this.advanceCommit();
      this.wake.ring();
    });
  }

  /** Ends all tasks of the voter. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.failWaiting();
    await this.tasks.join();
  }

  /** Task: starts an election whenever no leader was heard for an election time. */
  private async watchLeader(): Promise<void> {
    const { clock, random, timing } = this.o;
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const patience = timing.electionMs * (1 + random.next());
      const left = this.lastHeard + patience - clock.now();
      await clock.sleep(Math.max(left, timing.heartbeatMs / 2), signal);
      if (signal.aborted) return;
      if (this.current === 'leader') this.checkQuorum();
      else if (this.lastHeard + patience <= clock.now()) await this.campaign();
    }
  }

  private checkQuorum(): void {
    const { clock, timing } = this.o;
    this.lastHeard = clock.now();
    if (this.quorumHeardAt() + timing.electionMs * 2 < clock.now()) {
      this.o.logger.warn('Lost touch with a quorum, stepping down.', { term: this.term });
      this.follow(undefined);
    }
  }

  private async campaign(): Promise<void> {
    this.lastHeard = this.o.clock.now();
    if (!(await this.gather(true, this.term + 1))) return;
    const term = this.term + 1;
    this.current = 'candidate';
    this.known = undefined;
    if (!(await this.saveHard(term, this.o.self))) return;
    const won = await this.gather(false, term);
    if (won && this.term === term && this.role === 'candidate') await this.lead();
  }

  /** Asks every voter for its vote; whether a quorum gave it. */
  private async gather(pre: boolean, term: number): Promise<boolean> {
    const { self, store, transport, timing, voters } = this.o;
    const call: VoteCall = {
      term,
      candidate: self,
      lastIndex: store.lastIndex,
      lastTerm: store.termAt(store.lastIndex) ?? 0,
      pre,
      transfer: false,
    };
    let granted = 1;
    const enough = this.quorum();
    if (granted >= enough) return true;
    return new Promise((resolve) => {
      const ask = async (peer: NodeId) => {
        const reply = await transport.call(peer, 'vote', call, { timeoutMs: timing.electionMs });
        if (reply.isErr()) return;
        if (reply.value.term > this.term && !reply.value.granted) {
          await this.stepDown(reply.value.term);
        }
        if (reply.value.granted) granted += 1;
        if (granted >= enough) resolve(true);
      };
      const asked = voters.filter((v) => v !== self).map(ask);
      void Promise.all(asked).then(() => resolve(false));
    });
  }

  private async lead(): Promise<void> {
    const { logger, self, store, voters } = this.o;
    this.current = 'leader';
    this.known = self;
    const { term } = this;
    logger.info('Leading.', { term });
    this.peers.clear();
    const now = this.o.clock.now();
    for (const peer of voters.filter((v) => v !== self)) {
      this.peers.set(peer, { next: store.lastIndex + 1, match: 0, heardAt: now });
      this.tasks.start(() => this.replicate(peer, term));
    }
    await this.appendOwn({ kind: 'noop' }, term);
    this.advanceCommit();
    this.wake.ring();
  }

  /** Task, one for each peer while leading: keeps the peer's log equal to this one. */
  private async replicate(id: NodeId, term: number): Promise<void> {
    const { clock, store, timing, transport } = this.o;
    const { signal } = this.stopping;
    const peer = this.peers.get(id);
    if (!peer) return;
    while (!signal.aborted && this.current === 'leader' && this.term === term) {
      const call = this.appendCall(peer, term);
      const sentAt = clock.now();
      const reply = await transport.call(id, 'append', call, {
        timeoutMs: timing.heartbeatMs * 3,
        signal,
      });
      if (this.current !== 'leader' || this.term !== term) return;
      if (reply.isOk()) await this.onAppendReply(peer, call, reply.value, sentAt);
      const idle = reply.isErr() || peer.next > store.lastIndex;
      if (idle) {
        await this.wake.waitUpTo(timing.heartbeatMs, clock, signal);
      }
    }
  }

  private appendCall(peer: Peer, term: number): AppendCall {
    const { self, store } = this.o;
    const prevIndex = peer.next - 1;
    return {
      term,
      leader: self,
      prevIndex,
      prevTerm: store.termAt(prevIndex) ?? 0,
      entries: store.slice(peer.next, batchLimit),
      commit: this.commit,
    };
  }

  private async onAppendReply(
    peer: Peer,
    call: AppendCall,
    reply: AppendReply,
    sentAt: Millis,
  ): Promise<void> {
    if (reply.term > this.term) {
      await this.stepDown(reply.term);
      return;
    }
    peer.heardAt = Math.max(peer.heardAt, sentAt);
    if (!reply.ok) {
      peer.next = Math.max(1, Math.min(peer.next - 1, reply.lastIndex + 1));
      return;
    }
    peer.match = Math.max(peer.match, call.prevIndex + call.entries.length);
    peer.next = peer.match + 1;
    this.advanceCommit();
  }

  private advanceCommit(): void {
    const matches = [this.o.store.lastIndex, ...[...this.peers.values()].map((p) => p.match)];
    matches.sort((a, b) => b - a);
    const index = matches[this.quorum() - 1] ?? 0;
    // Only entries of the own term are committed by counting (Raft, section 5.4.2).
    if (index > this.commit && this.o.store.termAt(index) === this.term) this.commitTo(index);
  }

  private commitTo(index: number): void {
    this.commit = Math.max(this.commit, Math.min(index, this.o.store.lastIndex));
    while (this.appliedTo < this.commit) {
      const [entry] = this.o.store.slice(this.appliedTo + 1, 1);
      invariant(entry?.index === this.appliedTo + 1, 'entries are applied in order');
      this.applyEntry(entry);
    }
  }

  private applyEntry(entry: LogEntry): void {
    const outcome =
      entry.payload.kind === 'command'
        ? this.o.machine.apply(entry.index, entry.payload.bytes)
        : new Uint8Array();
    this.appliedTo = entry.index;
    const waiting = this.waiting.get(entry.index);
    if (!waiting) return;
    this.waiting.delete(entry.index);
    const same = waiting.term === entry.term;
    waiting.settle(same ? ok({ index: entry.index, outcome }) : err({ kind: 'unknown' }));
  }

  private async onVote(call: VoteCall): Promise<VoteReply> {
    const refused = (): VoteReply => ({ term: this.term, granted: false });
    if (call.term < this.term) return refused();
    if (!call.transfer && this.heardFromLeader()) return refused();
    if (!this.isUpToDate(call)) {
      if (!call.pre && call.term > this.term) await this.stepDown(call.term);
      return refused();
    }
    if (call.pre) return { term: this.term, granted: call.term > this.term };
    if (call.term > this.term) await this.stepDown(call.term);
    return this.exclusively(async () => {
      const { term, vote } = this.o.store.hard;
      if (term !== call.term || (vote && vote !== call.candidate)) return refused();
      const saved = await this.o.store.saveHard({ term, vote: call.candidate });
      if (saved.isErr()) return refused();
      this.lastHeard = this.o.clock.now();
      return { term, granted: true };
    });
  }

  private heardFromLeader(): boolean {
    if (this.current === 'leader') return this.holdsLease;
    return (
      this.known !== undefined && this.lastHeard + this.o.timing.electionMs > this.o.clock.now()
    );
  }

  private isUpToDate(call: VoteCall): boolean {
    const { store } = this.o;
    const lastTerm = store.termAt(store.lastIndex) ?? 0;
    if (call.lastTerm !== lastTerm) return call.lastTerm > lastTerm;
    return call.lastIndex >= store.lastIndex;
  }

  private async onAppend(call: AppendCall): Promise<AppendReply> {
    const { store } = this.o;
    if (call.term < this.term) return { term: this.term, ok: false, lastIndex: store.lastIndex };
    if (call.term > this.term) await this.stepDown(call.term);
    return this.exclusively(async () => {
      if (call.term !== this.term) {
        return { term: this.term, ok: false, lastIndex: store.lastIndex };
      }
      invariant(this.current !== 'leader', 'a term has one leader');
      this.follow(call.leader);
      return this.take(call);
    });
  }

  private async take(call: AppendCall): Promise<AppendReply> {
    const { store } = this.o;
    const { term } = this;
    if (store.termAt(call.prevIndex) !== call.prevTerm) {
      return { term, ok: false, lastIndex: Math.min(store.lastIndex, call.prevIndex - 1) };
    }
    const fresh = call.entries.findIndex((e) => store.termAt(e.index) !== e.term);
    if (fresh >= 0) {
      const added = call.entries.slice(fresh);
      invariant(added[0]!.index > this.commit, 'a committed entry is never replaced');
      const saved = await store.append(added);
      if (saved.isErr()) return { term, ok: false, lastIndex: store.lastIndex };
    }
    this.commitTo(Math.min(call.commit, call.prevIndex + call.entries.length));
    return { term, ok: true, lastIndex: store.lastIndex };
  }

  /** Appends an entry of this leader; its index, or undefined where it could not be stored. */
  private appendOwn(payload: LogPayload, term: number): Promise<number | undefined> {
    return this.exclusively(async () => {
      if (this.current !== 'leader' || this.term !== term) return undefined;
      const index = this.o.store.lastIndex + 1;
      const saved = await this.o.store.append([{ index, term, payload }]);
      if (saved.isOk()) return index;
      this.o.logger.error('The log cannot be written, stepping down.', {
        detail: saved.error.detail,
      });
      this.follow(undefined);
      return undefined;
    });
  }

  private async stepDown(term: number): Promise<void> {
    if (term <= this.term) return;
    this.follow(undefined);
    await this.saveHard(term, undefined);
  }

  private follow(leader: NodeId | undefined): void {
    if (this.current === 'leader') this.failWaiting();
    this.current = 'follower';
    this.known = leader;
    this.lastHeard = this.o.clock.now();
  }

  private saveHard(term: number, vote: NodeId | undefined): Promise<boolean> {
    return this.exclusively(async () => {
      if (term <= this.term) return false;
      return (await this.o.store.saveHard({ term, vote })).isOk();
    });
  }

  private failWaiting(): void {
    for (const waiting of this.waiting.values()) waiting.settle(err({ kind: 'unknown' }));
    this.waiting.clear();
  }

  /** Runs `step` after every earlier step that writes to the store. */
  private exclusively<T>(step: () => Promise<T>): Promise<T> {
    const run = this.writing.then(step);
    this.writing = run.catch(() => undefined);
    return run;
  }

  private quorum(): number {
    return Math.floor(this.o.voters.length / 2) + 1;
  }

  private quorumHeardAt(): Millis {
    const heard = [this.o.clock.now(), ...[...this.peers.values()].map((p) => p.heardAt)];
    heard.sort((a, b) => b - a);
    return heard[this.quorum() - 1] ?? 0;
  }
}

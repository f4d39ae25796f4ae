/** Leader election with pre-vote. A background task runs the election timer. */

import type { Millis, NodeId } from '@tanagercart/base';
import type { TransferCall, TransferReply, VoteCall, VoteReply } from '@tanagercart/protocol';
import type { RaftState } from './raftstate.js';
import type { Replication } from './replication.js';

/** Answers requests for votes and runs elections. */
export class Election {
  /** No election starts before this time, as this node just granted another one a pre-vote. */
  private notBefore: Millis = -Infinity;

  private constructor(
    private readonly state: RaftState,
    private readonly replication: Replication,
  ) {}

  /** Serves `vote` and `transfer`, and starts the election timer. */
  static create(state: RaftState, replication: Replication): Election {
    const election = new Election(state, replication);
    state.o.transport.serve('vote', (_, call) => state.exclusive(() => election.handleVote(call)));
    state.o.transport.serve('transfer', (from, call) => election.handleTransfer(from, call));
    state.tasks.start(() => election.run());
    return election;
  }

  /**
   * Background task: starts an election when this node has received no call from a leader for its
   * random election timeout. On the leader, it checks that a quorum answers.
   */
  private async run(): Promise<void> {
    const { state } = this;
    const { clock, random, timing } = state.o;
    while (!state.stopped) {
      const timeoutMs = timing.electionMs * (1 + random.next());
      // Each wait lasts at least half a heartbeat interval.
      const remainingMs = state.timerAt + timeoutMs - clock.now();
      await clock.sleep(Math.max(remainingMs, timing.heartbeatMs / 2), state.stopping.signal);
      if (state.stopped) return;
      if (state.role === 'leader') this.replication.checkQuorum();
      else if (state.timerAt + timeoutMs <= clock.now() && this.notBefore <= clock.now()) {
        await this.campaign(false);
      }
    }
  }

  /**
   * Stands for election at once, after this node has formed the log: no other node can be elected
   * before it has that log, and there is no leader whose silence would have to be awaited.
   */
  standAfterForming(): Promise<void> {
    return this.campaign(false);
  }

  /** Runs one election, without a pre-vote if the leader asked this node to take over. */
  private async campaign(transfer: boolean): Promise<void> {
    const { state } = this;
    // A failed pre-vote does not restart the election timer, so the next one follows at the next
    // check of the timer; a pre-vote raises no term on other nodes.
    const start = state.timerAt;
    if (state.failed || !state.isVoter) return;
    if (!transfer && !(await this.collectVotes(state.term + 1, 'pre'))) return;
    const term = await state.exclusive(() => this.becomeCandidate(start));
    if (term === undefined) return;
    const silentMs = Math.round(state.o.clock.now() - start);
    state.o.logger.info('Standing for election.', { term, transfer, silentMs });
    const won = await this.collectVotes(term, transfer ? 'transfer' : 'vote');
    if (won && state.term === term && state.role === 'candidate' && !state.stopped) {
      await this.replication.startLeading(term);
    }
  }

  /**
   * Moves to the next term and votes for itself. Resolves to the term; undefined if the election
   * timer was restarted after `start`, if this node leads, or if its disk cannot be written.
   */
  private async becomeCandidate(start: number): Promise<number | undefined> {
    const { state } = this;
    if (state.timerAt !== start || state.role === 'leader' || state.failed) return undefined;
    const term = state.term + 1;
    state.timerAt = state.o.clock.now();
    state.role = 'candidate';
    state.leader = undefined;
    const saved = await state.store.saveTerm({ term, vote: state.o.self });
    return state.noteWrite(saved) ? term : undefined;
  }

  /** Requests the vote of every voter; resolves to whether a quorum granted it. */
  private collectVotes(term: number, mode: 'pre' | 'vote' | 'transfer'): Promise<boolean> {
    const { state } = this;
    const { self } = state.o;
    const call = this.voteCall(term, mode);
    const { voters } = state.voters.config;
    const needed = state.voters.quorum;
    let granted = state.isVoter ? 1 : 0;
    if (granted >= needed) return Promise.resolve(true);
    return new Promise((resolve) => {
      const requestFrom = async (peer: NodeId, diskId: string) => {
        const reply = await this.requestVote(peer, call);
        if (!reply || reply.disk !== diskId) return;
        if (reply.granted) granted += 1;
        if (granted >= needed) resolve(true);
      };
      const requests = voters.filter((m) => m.id !== self).map((m) => requestFrom(m.id, m.disk));
      void Promise.all(requests).then(() => resolve(false));
    });
  }

  private voteCall(term: number, mode: 'pre' | 'vote' | 'transfer'): VoteCall {
    const { store, o } = this.state;
    return {
      term,
      candidate: o.self,
      lastIndex: store.lastIndex,
      lastTerm: store.termAt(store.lastIndex) ?? 0,
      pre: mode === 'pre',
      transfer: mode === 'transfer',
    };
  }

  private async requestVote(peer: NodeId, call: VoteCall): Promise<VoteReply | undefined> {
    const { state } = this;
    const { transport, timing } = state.o;
    const options = { timeoutMs: timing.electionMs, signal: state.stopping.signal };
    const reply = await transport.call(peer, 'vote', call, options);
    if (reply.isErr() || state.stopped) return undefined;
    if (reply.value.term > state.term && !reply.value.granted) {
      await state.observeTerm(reply.value.term);
    }
    return reply.value;
  }

  private async handleVote(call: VoteCall): Promise<VoteReply> {
    const { state } = this;
    const { diskId: disk } = state.store;
    const deny = (): VoteReply => ({ term: state.term, disk, granted: false });
    if (state.failed || state.stopped || call.term < state.term) return deny();
    if (state.voters.hasOtherDisk(state.o.self, disk)) return deny();
    if (!call.transfer && this.mayLeaseBeHeld()) return deny();
    if (call.pre) {
      const granted = call.term > state.term && this.isUpToDate(call);
      // Two nodes that become candidates at the same time split the votes, so after granting a
      // pre-vote this node waits two heartbeat intervals before it starts an election.
      const { clock, timing } = state.o;
      if (granted) this.notBefore = clock.now() + timing.heartbeatMs * 2;
      return { term: state.term, disk, granted };
    }
    if (!(await state.raiseTerm(call.term)) || !this.isUpToDate(call)) return deny();
    const { term, vote } = state.store.hardState;
    if (vote !== undefined && vote !== call.candidate) return deny();
    if (!state.noteWrite(await state.store.saveTerm({ term, vote: call.candidate }))) return deny();
    state.timerAt = state.o.clock.now();
    return { term, disk, granted: true };
  }

  /** Whether a leader may hold a lease, which a vote for another candidate would violate. */
  private mayLeaseBeHeld(): boolean {
    if (this.state.role === 'leader') return this.replication.holdsLease;
    return this.state.isBoundByLease;
  }

  /** Whether the candidate's log is at least as up to date as this node's (Raft, section 5.4.1). */
  private isUpToDate(call: VoteCall): boolean {
    const { store } = this.state;
    const lastTerm = store.termAt(store.lastIndex) ?? 0;
    if (call.lastTerm !== lastTerm) return call.lastTerm > lastTerm;
    return call.lastIndex >= store.lastIndex;
  }

  private async handleTransfer(from: NodeId, call: TransferCall): Promise<TransferReply> {
    const { state } = this;
    const ok = call.term === state.term && from === state.leader && state.isVoter && !state.failed;
    if (ok) state.tasks.start(() => this.campaign(true));
    return { ok };
  }
}

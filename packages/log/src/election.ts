/** Leader election with pre-vote. A background task runs the election timer. */

import type { Millis, NodeId } from '@tanagercart/base';
import type { TransferCall, TransferReply, VoteCall, VoteReply } from '@tanagercart/protocol';
import type { RaftState } from './raftstate.js';
import type { Replication } from './replication.js';

/** Answers requests for votes and runs elections. */
export class Election {
  /** No election starts before this time, as another node was just granted a pre-vote. */
  private noElectionBefore: Millis = -Infinity;

  private constructor(
    private readonly raft: RaftState,
    private readonly replication: Replication,
  ) {}

  /** Serves `vote` and `transfer`, and starts the election timer. */
  static create(raft: RaftState, replication: Replication): Election {
    const election = new Election(raft, replication);
    raft.options.transport.serve('vote', (_, call) =>
      raft.runExclusive(() => election.handleVote(call)),
    );
    raft.options.transport.serve('transfer', (from, call) => election.handleTransfer(from, call));
    raft.tasks.start(() => election.runElectionTimer());
    return election;
  }

  /** Background task: starts an election when no leader has called for one election timeout. */
  private async runElectionTimer(): Promise<void> {
    const { raft } = this;
    const { clock, random, timing } = raft.options;
    while (!raft.stopped) {
      const timeoutMs = timing.electionMs * (1 + random.next());
      const remainingMs = raft.timerStart + timeoutMs - clock.now();
      await clock.sleep(Math.max(remainingMs, timing.heartbeatMs / 2), raft.stopController.signal);
      if (raft.stopped) return;
      if (raft.role === 'leader') this.replication.checkQuorum();
      else if (raft.timerStart + timeoutMs <= clock.now() && this.noElectionBefore <= clock.now()) {
        await this.campaign(false);
      }
    }
  }

  /** Runs one election. After a leadership transfer (`transfer`) the pre-vote is left out. */
  private async campaign(transfer: boolean): Promise<void> {
    const { raft } = this;
    // A failed pre-vote does not restart the election timer. It is repeated soon, as it disturbs no
    // other node.
    const since = raft.timerStart;
    if (raft.diskFailed || !raft.isVoter) return;
    if (!transfer && !(await this.collectVotes(raft.term + 1, 'pre'))) return;
    const term = await raft.runExclusive(() => this.becomeCandidate(since));
    if (term === undefined) return;
    raft.options.logger.info('Standing for election.', { term, transfer });
    const won = await this.collectVotes(term, transfer ? 'transfer' : 'vote');
    if (won && raft.term === term && raft.role === 'candidate' && !raft.stopped) {
      await this.replication.startLeading(term);
    }
  }

  /** Moves to the next term and votes for itself, unless the timer was restarted after `since`. */
  private async becomeCandidate(since: number): Promise<number | undefined> {
    const { raft } = this;
    if (raft.timerStart !== since || raft.role === 'leader' || raft.diskFailed) return undefined;
    const term = raft.term + 1;
    raft.timerStart = raft.options.clock.now();
    raft.role = 'candidate';
    raft.leader = undefined;
    const saved = await raft.store.saveHardState({ term, vote: raft.options.self });
    return raft.checkWrite(saved) ? term : undefined;
  }

  /** Requests the vote of every voter; resolves to whether a quorum granted it. */
  private collectVotes(term: number, mode: 'pre' | 'vote' | 'transfer'): Promise<boolean> {
    const { raft } = this;
    const { self } = raft.options;
    const call = this.createVoteCall(term, mode);
    const { voters } = raft.voters.config;
    const needed = raft.voters.quorum;
    let granted = raft.isVoter ? 1 : 0;
    if (granted >= needed) return Promise.resolve(true);
    return new Promise((resolve) => {
      const requestFrom = async (peer: NodeId, disk: string) => {
        const reply = await this.requestVote(peer, call);
        if (!reply || reply.disk !== disk) return;
        if (reply.granted) granted += 1;
        if (granted >= needed) resolve(true);
      };
      const requests = voters.filter((m) => m.id !== self).map((m) => requestFrom(m.id, m.disk));
      void Promise.all(requests).then(() => resolve(false));
    });
  }

  private createVoteCall(term: number, mode: 'pre' | 'vote' | 'transfer'): VoteCall {
    const { store, options } = this.raft;
    return {
      term,
      candidate: options.self,
      lastIndex: store.lastIndex,
      lastTerm: store.termAt(store.lastIndex) ?? 0,
      pre: mode === 'pre',
      transfer: mode === 'transfer',
    };
  }

  private async requestVote(peer: NodeId, call: VoteCall): Promise<VoteReply | undefined> {
    const { raft } = this;
    const { transport, timing } = raft.options;
    const options = { timeoutMs: timing.electionMs, signal: raft.stopController.signal };
    const reply = await transport.call(peer, 'vote', call, options);
    if (reply.isErr() || raft.stopped) return undefined;
    if (reply.value.term > raft.term && !reply.value.granted) {
      await raft.observeTerm(reply.value.term);
    }
    return reply.value;
  }

  private async handleVote(call: VoteCall): Promise<VoteReply> {
    const { raft } = this;
    const { diskId: disk } = raft.store;
    const deny = (): VoteReply => ({ term: raft.term, disk, granted: false });
    if (raft.diskFailed || raft.stopped || call.term < raft.term) return deny();
    if (raft.voters.isMemberWithOtherDisk(raft.options.self, disk)) return deny();
    if (!call.transfer && this.isLeaseActive()) return deny();
    if (call.pre) {
      const granted = call.term > raft.term && this.isUpToDate(call);
      // Two nodes that become candidates at the same time split the votes.
      const { clock, timing } = raft.options;
      if (granted) this.noElectionBefore = clock.now() + timing.heartbeatMs * 2;
      return { term: raft.term, disk, granted };
    }
    if (!(await raft.raiseTerm(call.term)) || !this.isUpToDate(call)) return deny();
    const { term, vote } = raft.store.hardState;
    if (vote !== undefined && vote !== call.candidate) return deny();
    if (!raft.checkWrite(await raft.store.saveHardState({ term, vote: call.candidate })))
      return deny();
    raft.timerStart = raft.options.clock.now();
    return { term, disk, granted: true };
  }

  /** Whether a leader may hold a lease, which a vote for another candidate would violate. */
  private isLeaseActive(): boolean {
    if (this.raft.role === 'leader') return this.replication.holdsLease;
    return this.raft.isBoundByLease;
  }

  /** Whether the candidate's log is at least as up to date as this node's (Raft, section 5.4.1). */
  private isUpToDate(call: VoteCall): boolean {
    const { store } = this.raft;
    const lastTerm = store.termAt(store.lastIndex) ?? 0;
    if (call.lastTerm !== lastTerm) return call.lastTerm > lastTerm;
    return call.lastIndex >= store.lastIndex;
  }

  private async handleTransfer(from: NodeId, call: TransferCall): Promise<TransferReply> {
    const { raft } = this;
    const ok = call.term === raft.term && from === raft.leader && raft.isVoter && !raft.diskFailed;
    if (ok) raft.tasks.start(() => this.campaign(true));
    return { ok };
  }
}

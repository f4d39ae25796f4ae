/** Elections with pre-vote; one task watches for the loss of the leader. */

import type { Millis, NodeId } from '@tanagercart/base';
import type { TransferCall, TransferReply, VoteCall, VoteReply } from '@tanagercart/protocol';
import type { Core } from './core.js';
import type { Replication } from './replication.js';

/** Gives votes, and stands for election. */
export class Election {
  /** No election is started before: another node was told that it may stand. */
  private yieldUntil: Millis = -Infinity;

  private constructor(
    private readonly core: Core,
    private readonly replication: Replication,
  ) {}

  /** Serves votes and starts the task that watches for the loss of the leader. */
  static create(core: Core, replication: Replication): Election {
    const election = new Election(core, replication);
    core.o.transport.serve('vote', (_, call) => core.exclusively(() => election.onVote(call)));
    core.o.transport.serve('transfer', (from, call) => election.onTransfer(from, call));
    core.tasks.start(() => election.watchLeader());
    return election;
  }

  /** Task: starts an election whenever no leader was heard for an election time. */
  private async watchLeader(): Promise<void> {
    const { core } = this;
    const { clock, random, timing } = core.o;
    while (!core.stopped) {
      const patience = timing.electionMs * (1 + random.next());
      const left = core.heardAt + patience - clock.now();
      await clock.sleep(Math.max(left, timing.heartbeatMs / 2), core.stopping.signal);
      if (core.stopped) return;
      if (core.role === 'leader') this.replication.checkQuorum();
      else if (core.heardAt + patience <= clock.now() && this.yieldUntil <= clock.now()) {
        await this.campaign(false);
      }
    }
  }

  private async campaign(transfer: boolean): Promise<void> {
    const { core } = this;
    // A pre-vote that fails is tried again soon: it disturbs nobody.
    const standAt = core.heardAt;
    if (core.failed || !core.isVoter) return;
    if (!transfer && !(await this.gather(core.term + 1, 'pre'))) return;
    const term = await core.exclusively(() => this.stand(standAt));
    if (term === undefined) return;
    core.o.logger.info('Standing for election.', { term, transfer });
    const won = await this.gather(term, transfer ? 'transfer' : 'vote');
    if (won && core.term === term && core.role === 'candidate' && !core.stopped) {
      await this.replication.lead(term);
    }
  }

  /** Moves to the next term with the own vote, unless a leader was heard since `standAt`. */
  private async stand(standAt: number): Promise<number | undefined> {
    const { core } = this;
    if (core.heardAt !== standAt || core.role === 'leader' || core.failed) return undefined;
    const term = core.term + 1;
    core.heardAt = core.o.clock.now();
    core.role = 'candidate';
    core.leader = undefined;
    const saved = await core.store.saveVote({ term, vote: core.o.self });
    return core.saved(saved) ? term : undefined;
  }

  /** Asks every voter for its vote; whether a quorum gave it. */
  private gather(term: number, mode: 'pre' | 'vote' | 'transfer'): Promise<boolean> {
    const { core } = this;
    const { self } = core.o;
    const call = this.voteCall(term, mode);
    const { voters } = core.voters.config;
    const enough = core.voters.quorum;
    let granted = core.isVoter ? 1 : 0;
    if (granted >= enough) return Promise.resolve(true);
    return new Promise((resolve) => {
      const ask = async (peer: NodeId, disk: string) => {
        const reply = await this.ask(peer, call);
        if (!reply || reply.disk !== disk) return;
        if (reply.granted) granted += 1;
        if (granted >= enough) resolve(true);
      };
      const asked = voters.filter((m) => m.id !== self).map((m) => ask(m.id, m.disk));
      void Promise.all(asked).then(() => resolve(false));
    });
  }

  private voteCall(term: number, mode: 'pre' | 'vote' | 'transfer'): VoteCall {
    const { store, o } = this.core;
    return {
      term,
      candidate: o.self,
      lastIndex: store.lastIndex,
      lastTerm: store.termAt(store.lastIndex) ?? 0,
      pre: mode === 'pre',
      transfer: mode === 'transfer',
    };
  }

  private async ask(peer: NodeId, call: VoteCall): Promise<VoteReply | undefined> {
    const { core } = this;
    const { transport, timing } = core.o;
    const options = { timeoutMs: timing.electionMs, signal: core.stopping.signal };
    const reply = await transport.call(peer, 'vote', call, options);
    if (reply.isErr() || core.stopped) return undefined;
    if (reply.value.term > core.term && !reply.value.granted) {
      await core.learnTerm(reply.value.term);
    }
    return reply.value;
  }

  private async onVote(call: VoteCall): Promise<VoteReply> {
    const { core } = this;
    const { diskId: disk } = core.store;
    const refused = (): VoteReply => ({ term: core.term, disk, granted: false });
    if (core.failed || core.stopped || call.term < core.term) return refused();
    if (core.voters.isReplaced(core.o.self, disk)) return refused();
    if (!call.transfer && this.backsLeader()) return refused();
    if (call.pre) {
      const granted = call.term > core.term && this.isUpToDate(call);
      // Two nodes that stand at once split the votes.
      const { clock, timing } = core.o;
      if (granted) this.yieldUntil = clock.now() + timing.heartbeatMs * 2;
      return { term: core.term, disk, granted };
    }
    if (!(await core.adoptTerm(call.term)) || !this.isUpToDate(call)) return refused();
    const { term, vote } = core.store.hardState;
    if (vote !== undefined && vote !== call.candidate) return refused();
    if (!core.saved(await core.store.saveVote({ term, vote: call.candidate }))) return refused();
    core.heardAt = core.o.clock.now();
    return { term, disk, granted: true };
  }

  private backsLeader(): boolean {
    if (this.core.role === 'leader') return this.replication.holdsLease;
    return this.core.mayBackLeader;
  }

  private isUpToDate(call: VoteCall): boolean {
    const { store } = this.core;
    const lastTerm = store.termAt(store.lastIndex) ?? 0;
    if (call.lastTerm !== lastTerm) return call.lastTerm > lastTerm;
    return call.lastIndex >= store.lastIndex;
  }

  private async onTransfer(from: NodeId, call: TransferCall): Promise<TransferReply> {
    const { core } = this;
    const ok = call.term === core.term && from === core.leader && core.isVoter && !core.failed;
    if (ok) core.tasks.start(() => this.campaign(true));
    return { ok };
  }
}

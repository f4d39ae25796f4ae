/**
 * A node of a replicated log: Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum and
 * leases.
 */

import type { Result } from 'neverthrow';
import type { Millis, NodeId } from '@tanagercart/base';
import type { VoterConfig, VotersCall, VotersReply } from '@tanagercart/protocol';
import { Applier } from './applier.js';
import type { AppliedProposal, ProposeError } from './applier.js';
import { VoterChanges } from './voterchanges.js';
import { RaftState } from './raftstate.js';
import type { Role } from './raftstate.js';
import { Election } from './election.js';
import { formLog } from './formation.js';
import type { RaftOptions } from './options.js';
import { Proposals } from './proposals.js';
import { Receiver } from './receiver.js';
import { Replication } from './replication.js';

/** A node that stores the replicated log. It votes once the voter set contains its disk. */
export class Raft {
  private constructor(
    private readonly state: RaftState,
    private readonly applier: Applier,
    private readonly replication: Replication,
    private readonly proposals: Proposals,
    private readonly voterChanges: VoterChanges,
  ) {}

  /** Restores the state machine from the stored snapshot and starts the background tasks. */
  static create(options: RaftOptions): Raft {
    const state = RaftState.create(options);
    const applier = Applier.create(state);
    const replication = Replication.create(state, applier);
    const proposals = Proposals.create(state, applier, replication);
    const voterChanges = VoterChanges.create(state, applier, replication, proposals);
    Receiver.create(state, applier);
    const election = Election.create(state, replication);
    state.tasks.start(async () => {
      if (await formLog(state)) await election.standAfterForming();
    });
    return new Raft(state, applier, replication, proposals, voterChanges);
  }

  get role(): Role {
    return this.state.role;
  }

  get leader(): NodeId | undefined {
    return this.state.leader;
  }

  /** The leader, if it is this node or has sent it a call within the last `ms`. */
  leaderWithin(ms: Millis): NodeId | undefined {
    const { state } = this;
    const isHeard = state.role === 'leader' || state.o.clock.now() - state.timerAt <= ms;
    return isHeard ? state.leader : undefined;
  }

  /** Resolves when the role, the leader or the commit index changes, or after `ms`. */
  changeWithin(ms: Millis): Promise<void> {
    const { changed, o, stopping } = this.state;
    return changed.waitUpTo(ms, o.clock, stopping.signal);
  }

  get term(): number {
    return this.state.term;
  }

  get commitIndex(): number {
    return this.applier.commitIndex;
  }

  /** Index of the last stored entry, committed or not. */
  get lastIndex(): number {
    return this.state.store.lastIndex;
  }

  /** Identifier of the disk; see `Store.diskId`. */
  get diskId(): string {
    return this.state.store.diskId;
  }

  /** The latest voter set in the log, committed or not. */
  get voterConfig(): VoterConfig {
    return this.state.voters.config;
  }

  /** Whether the voter set in use is known to be committed. */
  get isVoterConfigCommitted(): boolean {
    return this.state.voters.index <= this.applier.commitIndex;
  }

  /** Whether a write has failed; this node then no longer votes, leads or acknowledges entries. */
  get diskFailed(): boolean {
    return this.state.failed;
  }

  /** Whether this node is the leader and no other node can be; see `Replication.holdsLease`. */
  get holdsLease(): boolean {
    return this.replication.holdsLease;
  }

  /** Whether this leader sent a call within the last `ms` that member `id` answered. */
  answeredWithin(id: NodeId, ms: Millis): boolean {
    return this.replication.answeredWithin(id, ms);
  }

  /** Appends a command to the log and resolves once it is committed and applied on this node. */
  propose(bytes: Uint8Array): Promise<Result<AppliedProposal, ProposeError>> {
    return this.proposals.propose({ kind: 'command', bytes });
  }

  /** Adds or removes a voter, or shows the voter set; only the leader carries this out. */
  changeVoters(call: VotersCall): Promise<VotersReply> {
    return this.voterChanges.changeVoters(call);
  }

  /**
   * Transfers leadership, for example before a shutdown, to a node that is not among `avoided`.
   * Resolves to whether this node stopped leading.
   */
  transfer(avoided?: ReadonlySet<NodeId>): Promise<boolean> {
    return this.replication.transfer(avoided);
  }

  /** Stops all background tasks; pending proposals fail with `unknown`. */
  async stop(): Promise<void> {
    this.state.stopping.abort();
    this.applier.failPending();
    await this.state.tasks.join();
  }
}

/** A replicated log after Ongaro and Ousterhout (2014), with pre-vote, check-quorum and a leader lease. */

import type { Result } from 'neverthrow';
import type { Millis, NodeId } from '@tanagercart/base';
import type { VoterConfig, VotersCall, VotersReply } from '@tanagercart/protocol';
import { Applier } from './applier.js';
import type { AppliedProposal, ProposeError } from './applier.js';
import { Changes } from './changes.js';
import { Core } from './core.js';
import type { Role } from './core.js';
import { Election } from './election.js';
import { formLog } from './formation.js';
import type { RaftOptions } from './options.js';
import { Proposals } from './proposals.js';
import { Receiver } from './receiver.js';
import { Replication } from './replication.js';

/** One node that stores the replicated log; it votes once the voter set names its disk. */
export class Raft {
  private constructor(
    private readonly core: Core,
    private readonly applier: Applier,
    private readonly replication: Replication,
    private readonly proposals: Proposals,
    private readonly changes: Changes,
  ) {}

  /** Restores the machine from the store and starts the tasks. */
  static create(options: RaftOptions): Raft {
    const core = Core.create(options);
    const applier = Applier.create(core);
    const replication = Replication.create(core, applier);
    const proposals = Proposals.create(core, applier, replication);
    const changes = Changes.create(core, applier, replication, proposals);
    Receiver.create(core, applier);
    Election.create(core, replication);
    core.tasks.start(() => formLog(core));
    return new Raft(core, applier, replication, proposals, changes);
  }

  get role(): Role {
    return this.core.role;
  }

  get leader(): NodeId | undefined {
    return this.core.leader;
  }

  get term(): number {
    return this.core.term;
  }

  get commitIndex(): number {
    return this.applier.commit;
  }

  /** Index of the last entry, committed or not. */
  get lastIndex(): number {
    return this.core.store.lastIndex;
  }

  /** Name of the disk. */
  get diskId(): string {
    return this.core.store.diskId;
  }

  /** The voter set in use. */
  get voterConfig(): VoterConfig {
    return this.core.voters.config;
  }

  /** Whether the disk has failed, so that this node takes no part in the log. */
  get diskFailed(): boolean {
    return this.core.failed;
  }

  /** Whether this voter leads, and no other can: a quorum answered within the shortest election time. */
  get holdsLease(): boolean {
    return this.replication.holdsLease;
  }

  /** Whether a member answered this leader within the last `ms`. */
  hasAnsweredWithin(id: NodeId, ms: Millis): boolean {
    return this.replication.heardWithin(id, ms);
  }

  /** Puts a command into the log; resolves once it is applied here. */
  propose(bytes: Uint8Array): Promise<Result<AppliedProposal, ProposeError>> {
    return this.proposals.propose({ kind: 'command', bytes });
  }

  /** Adds or removes a voter, at the leader. */
  changeVoters(call: VotersCall): Promise<VotersReply> {
    return this.changes.change(call);
  }

  /** Hands leadership to another voter, as before a shutdown; whether another leads now. */
  transferLeadership(): Promise<boolean> {
    return this.replication.handOver();
  }

  /** Ends all tasks. */
  async stop(): Promise<void> {
    this.core.stopping.abort();
    this.applier.failWaiting();
    await this.core.tasks.join();
  }
}

/** Changes of the voter set, one member at a time, by way of a learner that must have caught up. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Millis, NodeId } from '@tanagercart/base';
import type { Member, VoterConfig, VotersCall, VotersReply } from '@tanagercart/protocol';
import type { Applier } from './applier.js';
import type { Core } from './core.js';
import type { Proposals } from './proposals.js';
import type { Replication } from './replication.js';
import { quorumOf } from './voterset.js';

/** How long a learner may take to catch up, in milliseconds. */
const catchUpMs: Millis = 60_000;

/** How long a node may take to answer what disk it has, in milliseconds. */
const inspectMs: Millis = 1000;

type Failure = Exclude<VotersReply, { kind: 'changed' }>;

/** Carries out changes of the voter set at the leader. */
export class Changes {
  private busy = false;

  private constructor(
    private readonly core: Core,
    private readonly applier: Applier,
    private readonly replication: Replication,
    private readonly proposals: Proposals,
  ) {}

  /** Serves changes, and tells others about this node's disk. */
  static create(
    core: Core,
    applier: Applier,
    replication: Replication,
    proposals: Proposals,
  ): Changes {
    const changes = new Changes(core, applier, replication, proposals);
    core.o.transport.serve('inspect', async () => ({
      disk: core.store.diskId,
      empty: core.store.lastIndex === 0,
      forms: core.o.initialVoters.length > 0,
      term: core.term,
    }));
    core.o.transport.serve('voters', (_, call) => changes.change(call));
    return changes;
  }

  /** Adds or removes a voter; a repeated call finds the change done, or goes on with it. */
  async change(call: VotersCall): Promise<VotersReply> {
    const { core } = this;
    if (core.role !== 'leader') return this.notLeader();
    if (call.action === 'show') return { kind: 'changed', config: core.voters.config };
    if (this.busy) return refused('another change is under way');
    this.busy = true;
    const done = call.action === 'add' ? await this.add(call.node) : await this.remove(call.node);
    this.busy = false;
    if (done.isErr()) return done.error;
    return { kind: 'changed', config: core.voters.config };
  }

  private notLeader(): VotersReply & { kind: 'not-leader' } {
    return { kind: 'not-leader', leader: this.core.leader };
  }

  private async add(id: NodeId): Promise<Result<void, Failure>> {
    const { core } = this;
    const options = { timeoutMs: inspectMs };
    const found = await core.o.transport.call(id, 'inspect', { from: core.o.self }, options);
    if (found.isErr()) return err(refused(`${id} does not answer, or has no disk`));
    const member: Member = { id, disk: found.value.disk };
    if (core.voters.isVoter(id, member.disk)) return ok(undefined);
    if (core.voters.isReplaced(id, member.disk)) {
      const removed = await this.remove(id);
      if (removed.isErr()) return removed;
    }
    const learning = await this.addLearner(member);
    if (learning.isErr()) return learning;
    if (!(await this.caughtUp(member))) return err(refused(`${id} has not caught up in time`));
    const { voters, learners } = core.voters.config;
    return this.commit({
      voters: [...voters, member],
      learners: learners.filter((m) => m.id !== id),
    });
  }

  private async addLearner(member: Member): Promise<Result<void, Failure>> {
    const { voters, learners } = this.core.voters.config;
    if (learners.some((m) => m.id === member.id)) return ok(undefined);
    return this.commit({ voters, learners: [...learners, member] });
  }

  /** Waits until a learner has stored all that was in the log at some moment of the wait. */
  private async caughtUp(member: Member): Promise<boolean> {
    const { core } = this;
    const { clock, timing } = core.o;
    const { term } = core;
    const deadline = clock.now() + catchUpMs;
    while (core.leads(term) && clock.now() < deadline) {
      if (this.replication.matchOf(member.id) >= core.store.lastIndex) return true;
      await core.changed.waitUpTo(timing.heartbeatMs, clock, core.stopping.signal);
    }
    return false;
  }

  private async remove(id: NodeId): Promise<Result<void, Failure>> {
    const { core } = this;
    const { voters, learners } = core.voters.config;
    if (!core.voters.members.some((m) => m.id === id)) return ok(undefined);
    if (voters.length === 1 && voters[0]!.id === id) return err(refused('the last voter stays'));
    if (id === core.o.self) {
      const moved = await this.replication.handOver();
      return err(moved ? this.notLeader() : refused('no other voter can take the lead'));
    }
    return this.commit({
      voters: voters.filter((m) => m.id !== id),
      learners: learners.filter((m) => m.id !== id),
    });
  }

  /** Commits a voter set that differs from the present one by one voter at most. */
  private async commit(config: VoterConfig): Promise<Result<void, Failure>> {
    const { core, applier } = this;
    // A change before an entry of the own term is committed could undo an earlier leader's change.
    if (core.store.termAt(applier.commit) !== core.term || core.voters.index > applier.commit) {
      return err(refused('an earlier change is not committed yet'));
    }
    const live = config.voters.filter((m) => this.isLive(m));
    if (live.length < quorumOf(config)) {
      return err(refused('too few of the new voters answer for a quorum'));
    }
    const done = await this.proposals.propose({ kind: 'voters', config });
    if (done.isOk()) return ok(undefined);
    if (done.error.kind === 'not-leader') return err(this.notLeader());
    return err({ kind: 'unknown', reason: 'leadership was lost' });
  }

  private isLive(member: Member): boolean {
    return this.replication.heardWithin(member.id, this.core.o.timing.electionMs * 2);
  }
}

function refused(reason: string): VotersReply & { kind: 'refused' } {
  return { kind: 'refused', reason };
}

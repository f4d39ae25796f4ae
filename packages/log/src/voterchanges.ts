/**
 * Changes of the voter set, one member at a time. A new voter first joins as a learner, and votes
 * only after its log has caught up. No change waits for the member of another one.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Serial, unreachable } from '@tanagercart/base';
import type { Millis, NodeId } from '@tanagercart/base';
import type {
  Member,
  VoterChange,
  VoterConfig,
  VotersCall,
  VotersReply,
} from '@tanagercart/protocol';
import type { Applier } from './applier.js';
import type { RaftState } from './raftstate.js';
import type { Proposals } from './proposals.js';
import type { Replication } from './replication.js';
import { bearsNewcomer, quorumSize } from './voterset.js';

/** Time within which a learner must catch up, in milliseconds; otherwise the change is refused. */
const catchUpTimeoutMs: Millis = 60_000;

/** Timeout of an `inspect` call, in milliseconds. */
const inspectTimeoutMs: Millis = 1000;

type Failure = Exclude<VotersReply, { kind: 'changed' }>;

/** Carries out changes of the voter set on the leader. */
export class VoterChanges {
  /** Each step reads and commits the voter set as it is then. */
  private readonly steps = Serial.create();

  private constructor(
    private readonly state: RaftState,
    private readonly applier: Applier,
    private readonly replication: Replication,
    private readonly proposals: Proposals,
  ) {}

  /** Serves `voters` and `inspect`. */
  static create(
    state: RaftState,
    applier: Applier,
    replication: Replication,
    proposals: Proposals,
  ): VoterChanges {
    const changes = new VoterChanges(state, applier, replication, proposals);
    state.o.transport.serve('inspect', async () => ({
      disk: state.store.diskId,
      empty: state.store.lastIndex === 0,
      forms: state.o.initialVoters.length > 0,
      term: state.term,
    }));
    state.o.transport.serve('voters', (_, call) => changes.changeVoters(call));
    return changes;
  }

  /** Adds or removes a voter. Idempotent: a repeated call continues an unfinished change. */
  async changeVoters(call: VotersCall): Promise<VotersReply> {
    const { state } = this;
    if (state.role !== 'leader') return this.notLeader();
    if (call.action === 'show') return { kind: 'changed', config: state.voters.config };
    const done = await this.apply(call);
    if (done.isErr()) return done.error;
    return { kind: 'changed', config: state.voters.config };
  }

  private apply(change: VoterChange): Promise<Result<void, Failure>> {
    switch (change.action) {
      case 'add':
        return this.add(change.node, change.replaces);
      case 'remove':
        return this.steps.run(() => this.remove(change.node));
      default:
        return unreachable(change);
    }
  }

  private notLeader(): VotersReply & { kind: 'not-leader' } {
    return { kind: 'not-leader', leader: this.state.leader };
  }

  private async add(id: NodeId, replaces: NodeId | undefined): Promise<Result<void, Failure>> {
    const { state } = this;
    const options = { timeoutMs: inspectTimeoutMs };
    const inspected = await state.o.transport.call(id, 'inspect', { from: state.o.self }, options);
    if (inspected.isErr()) return err(refused(`${id} does not answer, or has no disk`));
    const member: Member = { id, disk: inspected.value.disk };
    if (state.voters.isVoter(id, member.disk)) return ok(undefined);
    const learnerAdded = await this.steps.run(() => this.addLearner(member));
    if (learnerAdded.isErr()) return learnerAdded;
    const caughtUp = await this.awaitCatchUp(member);
    if (caughtUp.isErr()) return caughtUp;
    const since = state.o.clock.now();
    await this.awaitAnswers(since);
    return this.steps.run(() => this.promote(member, replaces, since));
  }

  private async addLearner(member: Member): Promise<Result<void, Failure>> {
    const { state } = this;
    if (state.voters.hasOtherDisk(member.id, member.disk)) {
      const removed = await this.remove(member.id);
      if (removed.isErr()) return removed;
    }
    if (state.voters.includes(member)) return ok(undefined);
    const { voters, learners } = state.voters.config;
    return this.commitConfig({ voters, learners: [...learners, member] });
  }

  /**
   * Lets a learner vote, unless a quorum would then depend on the learner. Where `replaces` does not
   * answer, that voter leaves first.
   */
  private async promote(
    member: Member,
    replaces: NodeId | undefined,
    since: Millis,
  ): Promise<Result<void, Failure>> {
    const { state, replication } = this;
    if (state.voters.isVoter(member.id, member.disk)) return ok(undefined);
    if (!state.voters.includes(member)) return err(refused(`${member.id} was removed`));
    const canReplace = replaces !== undefined && !replication.answeredSince(replaces, since);
    if (!this.bearsNewcomer(since) && canReplace) {
      const removed = await this.remove(replaces);
      if (removed.isErr()) return removed;
    }
    if (!this.bearsNewcomer(since)) {
      return err(refused(`a quorum would depend on ${member.id}: ${this.silentText(since)}`));
    }
    const { voters, learners } = state.voters.config;
    return this.commitConfig({
      voters: [...voters, member],
      learners: learners.filter((m) => m.id !== member.id),
    });
  }

  /**
   * Waits until a learner has stored the last entry of the log. One that does not answer is not waited
   * for; it remains a learner, and the next request to add it goes on from there.
   */
  private async awaitCatchUp(member: Member): Promise<Result<void, Failure>> {
    const { state } = this;
    const { clock, timing } = state.o;
    const { term } = state;
    const deadline = clock.now() + catchUpTimeoutMs;
    while (state.leads(term) && clock.now() < deadline) {
      if (!state.voters.includes(member)) return err(refused(`${member.id} was removed`));
      if (this.replication.matchIndexOf(member.id) >= state.store.lastIndex) return ok(undefined);
      if (!this.isLive(member)) return err(refused(`${member.id} does not answer`));
      await state.changed.waitUpTo(timing.heartbeatMs, clock, state.stopping.signal);
    }
    return err(refused(`${member.id} has not caught up in time`));
  }

  /** Waits until the voters that are not silent have answered a call sent at `since` or later. */
  private async awaitAnswers(since: Millis): Promise<void> {
    const { state, replication } = this;
    const { clock, timing } = state.o;
    const { term } = state;
    const isAwaited = (m: Member) => this.isLive(m) && !replication.answeredSince(m.id, since);
    state.sendDue.ring();
    while (
      state.leads(term) &&
      !this.bearsNewcomer(since) &&
      state.voters.config.voters.some(isAwaited)
    ) {
      await state.changed.waitUpTo(timing.heartbeatMs, clock, state.stopping.signal);
    }
  }

  /** Whether the voters that have answered since a time can let another one vote. */
  private bearsNewcomer(since: Millis): boolean {
    const { voters } = this.state.voters.config;
    const answering = voters.filter((m) => this.replication.answeredSince(m.id, since));
    return bearsNewcomer(voters.length, answering.length);
  }

  private silentText(since: Millis): string {
    const { voters } = this.state.voters.config;
    const silent = voters.filter((m) => !this.replication.answeredSince(m.id, since));
    return `${silent.map((m) => m.id).join(', ')} must answer or be replaced`;
  }

  private async remove(id: NodeId): Promise<Result<void, Failure>> {
    const { state } = this;
    const { voters, learners } = state.voters.config;
    if (!state.voters.members.some((m) => m.id === id)) return ok(undefined);
    if (voters.length === 1 && voters[0]!.id === id) return err(refused('the last voter stays'));
    if (id === state.o.self) {
      const transferred = await this.replication.transfer();
      return err(transferred ? this.notLeader() : refused('no other voter can take the lead'));
    }
    return this.commitConfig({
      voters: voters.filter((m) => m.id !== id),
      learners: learners.filter((m) => m.id !== id),
    });
  }

  /** Commits a voter set that differs from the current one by at most one voter. */
  private async commitConfig(config: VoterConfig): Promise<Result<void, Failure>> {
    const { state, applier } = this;
    // Before an entry of this leader's term is committed, a change could undo a committed change by
    // an earlier leader.
    if (
      state.store.termAt(applier.commitIndex) !== state.term ||
      state.voters.index > applier.commitIndex
    ) {
      return err(refused('an earlier change is not committed yet'));
    }
    const live = config.voters.filter((m) => this.isLive(m));
    if (live.length < quorumSize(config.voters.length)) {
      return err(refused('too few of the new voters answer for a quorum'));
    }
    const done = await this.proposals.propose({ kind: 'voters', config });
    if (done.isOk()) return ok(undefined);
    if (done.error.kind === 'not-leader') return err(this.notLeader());
    return err({ kind: 'unknown', reason: 'leadership was lost' });
  }

  private isLive(member: Member): boolean {
    return this.replication.answeredWithin(member.id, this.state.o.timing.electionMs * 2);
  }
}

function refused(reason: string): VotersReply & { kind: 'refused' } {
  return { kind: 'refused', reason };
}

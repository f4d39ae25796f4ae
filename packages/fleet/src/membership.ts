/**
 * Maintains the voter set without an operator: nodes with a disk ask to join, voters ask to leave
 * before a planned stop, and the leader removes voters that leave or do not answer where the others
 * tolerate more failures by themselves.
 */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { Raft } from '@tanagercart/log';
import type {
  JoinCall,
  JoinReply,
  LeaveState,
  Transport,
  VoterChange,
} from '@tanagercart/protocol';
import type { Voter } from './voter.js';
import { awaitsRemoval, nextVoterChange } from './voterplan.js';
import type { Electorate } from './voterplan.js';

/** Interval at which a node that may not vote asks to join, and the leader checks the voters. */
const reconcileIntervalMs: Millis = 200;

/** A request to join expires after this time. */
const joinRequestTtlMs: Millis = 1200;

/** A voter that has not answered the leader for this long counts as silent. */
const silentMs: Millis = 1500;

/** The same for a learner, which may be writing the whole state to a slow disk, and has no vote. */
const learnerSilentMs: Millis = 10_000;

/**
 * A voter that no leader has called for this long asks to join: it may have been removed while it
 * could not be told, and its own log names it as a voter for ever.
 */
const doubtMs: Millis = 1000;

/** Time for a node to answer a request to join or to leave. */
const joinTimeoutMs: Millis = 400;

/**
 * Time for a voter to leave before it stops. It covers a failed handover of the lead and the election
 * after it (1.4 s each), and leaves more than half of the 8 s that a stop may take.
 */
const leaveTimeoutMs: Millis = 3000;

/** Interval at which a voter that is about to stop asks whether it has left. */
const leaveIntervalMs: Millis = 50;

/** A request to leave expires after this time, by which a voter that has stopped counts as silent. */
const leaveRequestTtlMs: Millis = silentMs;

export interface MembershipOptions {
  readonly self: NodeId;
  readonly voter: Voter;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Nodes that may know the voters. */
  readonly seeds: () => readonly NodeId[];
}

/** Joins the voter set, and maintains it while this node leads. */
export class Membership {
  /** Time of the last request to join of each node. */
  private readonly joins = new Map<NodeId, Millis>();
  /** Time of the last request to leave of each node. */
  private readonly leaves = new Map<NodeId, Millis>();
  /** Time at which a voter was told to stop although it stays a member. */
  private readonly keptAt = new Map<NodeId, Millis>();
  /** Voters and leaders that were named in replies to requests to join. */
  private discovered: readonly NodeId[] = [];
  /** Nodes that are being added or removed. */
  private readonly changing = new Set<NodeId>();
  /** Whether this node doubts that it still votes. */
  private isInDoubt = false;
  /** Whether this node is about to stop. */
  private isLeaving = false;

  private constructor(private readonly o: MembershipOptions) {}

  static create(options: MembershipOptions): Membership {
    const membership = new Membership(options);
    options.transport.serve('join', async (_, call) => membership.handleJoin(call));
    return membership;
  }

  /** Known nodes with a disk, voters first. */
  get nodes(): readonly NodeId[] {
    return [...new Set([...this.o.voter.members, ...this.discovered, ...this.o.seeds()])];
  }

  /** Nodes that lately told this one that they are about to stop. */
  get leaving(): ReadonlySet<NodeId> {
    return new Set(this.lately(this.leaves, leaveRequestTtlMs));
  }

  /**
   * Asks to join while this node does not vote or doubts that it does, and maintains the voter set
   * while it leads, until `stop` is aborted.
   */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, voter } = this.o;
    while (!stop.aborted) {
      const { raft } = voter;
      if (raft && voter.isLeader) this.reconcile(raft);
      else if (raft && !this.isLeaving && !this.surelyVotes(raft)) await this.requestJoin();
      await clock.sleep(reconcileIntervalMs, stop);
    }
  }

  /**
   * Prepares a planned stop: hands leadership over if this node leads, and asks the leader to remove
   * it from the voter set. Resolves once this node has left or stays a member, or after
   * `leaveTimeoutMs`, as the leader then finds it silent.
   */
  async leave(): Promise<void> {
    const { clock, logger } = this.o;
    this.isLeaving = true;
    const deadline = clock.now() + leaveTimeoutMs;
    let outcome = await this.requestLeave();
    while (outcome === 'pending' && clock.now() < deadline) {
      await clock.sleep(leaveIntervalMs);
      outcome = await this.requestLeave();
    }
    logger.info('Asked to leave the voters before the stop.', { outcome });
  }

  private async requestLeave(): Promise<LeaveState> {
    const { transport, voter, self } = this.o;
    const { raft } = voter;
    if (!raft || !voter.isVoter) return 'left';
    if (voter.isLeader) return (await raft.transfer(this.leaving)) ? 'pending' : 'kept';
    const { leader } = raft;
    if (leader === undefined || leader === self) return 'pending';
    const call: JoinCall = { node: self, leaving: true };
    const reply = await transport.call(leader, 'join', call, { timeoutMs: joinTimeoutMs });
    if (reply.isErr()) return 'pending';
    // A leader of an earlier version removes a voter only once it has been silent.
    return reply.value.leave ?? 'kept';
  }

  /** Whether this node votes, and has been told so by the calls of a leader of late. */
  private surelyVotes(raft: Raft): boolean {
    const { voter, logger } = this.o;
    const isLed = raft.leaderWithin(doubtMs) !== undefined;
    const wasInDoubt = this.isInDoubt;
    this.isInDoubt = voter.isVoter && !isLed;
    if (this.isInDoubt && !wasInDoubt) {
      logger.info('No leader calls this voter, asking to join.', { term: raft.term, doubtMs });
    }
    return voter.isVoter && isLed;
  }

  private handleJoin({ node, leaving }: JoinCall): JoinReply {
    const { voter, clock } = this.o;
    if (leaving) {
      const leave = this.handleLeave(node);
      return { leader: voter.leader, voters: voter.members, leave };
    }
    this.leaves.delete(node);
    this.keptAt.delete(node);
    if (voter.isLeader) this.joins.set(node, clock.now());
    return { leader: voter.leader, voters: voter.members };
  }

  /** Begins to remove a voter that is about to stop, if this node leads and the removal is due. */
  private handleLeave(node: NodeId): LeaveState {
    const { voter, clock } = this.o;
    const { raft } = voter;
    this.joins.delete(node);
    this.leaves.set(node, clock.now());
    if (!raft || !voter.isLeader) return 'pending';
    this.reconcile(raft);
    const electorate = this.electorate(raft);
    if (!electorate.voters.includes(node)) return raft.isVoterConfigCommitted ? 'left' : 'pending';
    if (awaitsRemoval(electorate, node)) return 'pending';
    this.keptAt.set(node, clock.now());
    return 'kept';
  }

  private async requestJoin(): Promise<void> {
    const { transport, self } = this.o;
    const others = this.nodes.filter((n) => n !== self);
    const replies = await Promise.all(
      others.map((n) => transport.call(n, 'join', { node: self }, { timeoutMs: joinTimeoutMs })),
    );
    const voters = replies.flatMap((r) =>
      r.isOk() ? [...r.value.voters, ...(r.value.leader ? [r.value.leader] : [])] : [],
    );
    if (voters.length > 0) this.discovered = [...new Set(voters)];
  }

  private reconcile(raft: Raft): void {
    const change = nextVoterChange(this.electorate(raft));
    if (!change || this.changing.has(change.node)) return;
    this.changing.add(change.node);
    void this.apply(raft, change);
  }

  private async apply(raft: Raft, change: VoterChange): Promise<void> {
    const { logger, clock } = this.o;
    const { action, node } = change;
    logger.info('Changing the voters.', {
      action,
      node,
      replaces: change.action === 'add' ? change.replaces : undefined,
      silent: [...silentMembers(raft)].join(' '),
      leaving: [...this.leaving].join(' '),
      asking: this.asking.join(' '),
    });
    const reply = await raft.changeVoters(change);
    const reason = 'reason' in reply ? reply.reason : undefined;
    logger.info('Changed the voters.', {
      action,
      node,
      outcome: reply.kind,
      reason,
      voters: raft.voterConfig.voters.map((m) => m.id).join(' '),
    });
    this.joins.delete(node);
    if (reply.kind !== 'changed') await clock.sleep(reconcileIntervalMs);
    this.changing.delete(node);
  }

  private electorate(raft: Raft): Electorate {
    const { voters, learners } = raft.voterConfig;
    const kept = this.lately(this.keptAt, leaveRequestTtlMs);
    return {
      voters: voters.map((m) => m.id),
      learners: learners.map((m) => m.id),
      silent: new Set([...silentMembers(raft), ...kept]),
      leaving: this.leaving,
      asking: this.asking.filter((id) => !this.changing.has(id)),
    };
  }

  /** Nodes that asked to join lately. */
  private get asking(): readonly NodeId[] {
    return this.lately(this.joins, joinRequestTtlMs);
  }

  /** Nodes whose last request came within the last `ms`, the earliest first. */
  private lately(requests: ReadonlyMap<NodeId, Millis>, ms: Millis): readonly NodeId[] {
    const now = this.o.clock.now();
    return [...requests].filter(([, at]) => now - at < ms).map(([node]) => node);
  }
}

/** Voters and learners that have not answered this leader lately. */
function silentMembers(raft: Raft): ReadonlySet<NodeId> {
  const { voters, learners } = raft.voterConfig;
  const silentVoters = voters.filter((m) => !raft.answeredWithin(m.id, silentMs));
  const silentLearners = learners.filter((m) => !raft.answeredWithin(m.id, learnerSilentMs));
  return new Set([...silentVoters, ...silentLearners].map((m) => m.id));
}

/**
 * Maintains the voter set without an operator: nodes with a disk ask to join, and the leader
 * removes a voter that does not answer as soon as the log tolerates no fewer failures without it.
 */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { Raft } from '@tanagercart/log';
import type { JoinCall, JoinReply, Transport } from '@tanagercart/protocol';
import type { Voter } from './voter.js';

/** Interval at which a node that does not vote asks to join, and the leader checks the voters. */
const reconcileIntervalMs: Millis = 200;

/** A request to join expires after this time. */
const joinRequestTtlMs: Millis = 1200;

/** The leader removes a voter from a set of even size if it has not answered for this long. */
const silentMs: Millis = 1500;

/** Time for a node to answer a request to join. */
const joinTimeoutMs: Millis = 400;

/** Largest number of voters. Further nodes with a disk remain on standby. */
const maxVoters = 7;

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
  /** Voters and leaders that were named in replies to requests to join. */
  private discovered: readonly NodeId[] = [];
  private isChanging = false;

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

  /**
   * Asks to join while this node does not vote, and maintains the voter set while it leads, until
   * `stop` is aborted.
   */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, voter } = this.o;
    while (!stop.aborted) {
      const { raft } = voter;
      if (raft && voter.isLeader) this.reconcile(raft);
      else if (raft && !voter.isVoter) await this.requestJoin();
      await clock.sleep(reconcileIntervalMs, stop);
    }
  }

  private handleJoin(call: JoinCall): JoinReply {
    const { voter, clock } = this.o;
    if (voter.isLeader) this.joins.set(call.node, clock.now());
    return { leader: voter.leader, voters: voter.members };
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
    if (this.isChanging) return;
    const change = this.nextChange(raft);
    if (!change) return;
    this.isChanging = true;
    void this.apply(raft, change);
  }

  private async apply(raft: Raft, change: Change): Promise<void> {
    const { logger, clock } = this.o;
    logger.info('Changing the voters.', { action: change.action, node: change.node });
    const reply = await raft.changeVoters(change);
    const reason = 'reason' in reply ? reply.reason : undefined;
    logger.info('Changed the voters.', {
      action: change.action,
      node: change.node,
      outcome: reply.kind,
      reason,
      voters: raft.voterConfig.voters.map((m) => m.id).join(' '),
    });
    this.joins.delete(change.node);
    if (reply.kind !== 'changed') await clock.sleep(reconcileIntervalMs);
    this.isChanging = false;
  }

  /**
   * Chooses the next change of the voter set. A set of even size tolerates no more failures than a
   * set with one voter less, so a silent voter is removed from it. A silent voter of a set of odd
   * size remains until a node that asks to join can replace it.
   */
  private nextChange(raft: Raft): Change | undefined {
    const { clock, self } = this.o;
    const now = clock.now();
    const { voters, learners } = raft.voterConfig;
    const silent = voters.filter((m) => m.id !== self && !raft.answeredWithin(m.id, silentMs));
    const canShrink = voters.length > 2 && voters.length % 2 === 0;
    if (canShrink && silent[0]) return { action: 'remove', node: silent[0].id };
    const joining = [...this.joins]
      .filter(([, at]) => now - at < joinRequestTtlMs)
      .map(([node]) => node);
    const [node] = joining;
    if (node !== undefined) {
      if (voters.length < maxVoters || voters.some((m) => m.id === node)) {
        return { action: 'add', node };
      }
      if (silent[0]) return { action: 'remove', node: silent[0].id };
    }
    const lost = learners.find((m) => !raft.answeredWithin(m.id, silentMs));
    return lost ? { action: 'remove', node: lost.id } : undefined;
  }
}

/** A change of the voter set. */
interface Change {
  readonly action: 'add' | 'remove';
  readonly node: NodeId;
}

/** Answers the calls by which entries and followers ask for changes of the state. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { Raft } from '@tanagercart/log';
import type { WatchCall, WatchReply } from '@tanagercart/protocol';
import type { LeaderTerm } from './leaderterm.js';
import type { ReplyReason } from './replystatistics.js';
import type { FleetState } from './state.js';
import type { Voter } from './voter.js';

/** Delay of a reply about a change, so that changes in quick succession are sent together. */
const batchDelayMs: Millis = 5;

/** How long a voter holds the call of an entry while no leader is known, or its lease has lapsed. */
const electionHoldMs: Millis = 400;

export interface WatchServerOptions {
  readonly self: NodeId;
  readonly voter: Voter;
  readonly clock: Clock;
  /** Ends the holds of calls. */
  readonly stop: AbortSignal;
  /** The state of the current term; undefined while this node does not hold the lease. */
  readonly currentTerm: () => LeaderTerm | undefined;
}

/** Holds the calls of entries and followers until there is news, and answers them in turn. */
export class WatchServer {
  private constructor(private readonly o: WatchServerOptions) {}

  static create(options: WatchServerOptions): WatchServer {
    return new WatchServer(options);
  }

  /** Answers a call from the node `from`, if this node leads. */
  async handle(from: NodeId, call: WatchCall): Promise<WatchReply> {
    const { voter, clock, currentTerm } = this.o;
    const leaderTerm = call.entry ? await this.awaitLeader() : currentTerm();
    if (!leaderTerm) return this.notLeader();
    const { state } = voter;
    const arrivedAt = clock.now();
    if (leaderTerm.recordEntry(from, call)) voter.changed.ring();
    const reason = await this.hold(leaderTerm, from, call, arrivedAt);
    if (reason === undefined) return this.notLeader();
    await this.awaitLease(leaderTerm);
    // Measured before the lease is checked, so that the reply confirms no later state than that.
    const heldMs = clock.now() - arrivedAt;
    if (currentTerm() !== leaderTerm) return this.notLeader();
    const isWhole = state.isWholeFor(call.since);
    leaderTerm.rollout.recordReply(from);
    leaderTerm.replies.record({ reason, isWhole, heldMs });
    return {
      kind: 'update',
      heldMs,
      index: state.index,
      ...(isWhole && call.readsPackedState ? packedChanges(state) : state.changesSince(call.since)),
      document: state.documentUpdate(call.documentVersion),
      bulletin: leaderTerm.bulletinFor(call),
    };
  }

  /**
   * Holds a call until there is news for it, and until it is its turn. Returns why it ended; undefined
   * if the caller has given up on it.
   */
  private async hold(
    leaderTerm: LeaderTerm,
    from: NodeId,
    call: WatchCall,
    arrivedAt: Millis,
  ): Promise<ReplyReason | undefined> {
    const { voter, clock, stop } = this.o;
    const isBehind = voter.state.changedIndex > call.since || call.since === 0;
    if (!isBehind) await voter.changed.waitUpTo(call.waitMs, clock, stop);
    const isHoldOver = clock.now() - arrivedAt >= call.waitMs;
    const isDue = await leaderTerm.paceReply(from, call, arrivedAt, isBehind ? 0 : batchDelayMs);
    if (!isDue) return undefined;
    if (isBehind) return 'behind';
    return isHoldOver ? 'hold-over' : 'news';
  }

  /**
   * Returns the current term if this node leads. While no leader is known, it waits for one, so that
   * the entries do not ask all voters again and again in the meantime.
   */
  private async awaitLeader(): Promise<LeaderTerm | undefined> {
    const { voter, self, currentTerm } = this.o;
    await this.waitWhile(() => {
      const { liveLeader } = voter;
      return !currentTerm() && (liveLeader === undefined || liveLeader === self);
    });
    return currentTerm();
  }

  /**
   * Waits for the lease to be held again, where it has lapsed within the term: mostly one heartbeat
   * later. Otherwise all entries would search for a leader that has not changed.
   */
  private awaitLease({ term }: LeaderTerm): Promise<void> {
    return this.waitWhile(
      (raft) => raft.role === 'leader' && raft.term === term && !raft.holdsLease,
    );
  }

  /** Waits while the log can be used and `isPending` holds, for `electionHoldMs` at most. */
  private async waitWhile(isPending: (raft: Raft) => boolean): Promise<void> {
    const { voter, clock, stop } = this.o;
    const until = clock.now() + electionHoldMs;
    for (;;) {
      const { raft } = voter;
      const leftMs = until - clock.now();
      if (!raft || !isPending(raft) || leftMs <= 0 || stop.aborted) return;
      await raft.changeWithin(leftMs);
    }
  }

  private notLeader(): WatchReply {
    return { kind: 'not-leader', leader: this.o.voter.liveLeader };
  }
}

/** The whole state in the form that is packed once for all callers. */
function packedChanges({ packedState }: FleetState) {
  return { whole: true, upstreams: [], quarantined: undefined, packedState };
}

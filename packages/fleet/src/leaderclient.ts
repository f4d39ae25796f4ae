/** Sends calls to the leader, and finds it among the nodes that may lead. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { createStopController, waitEnded } from '@tanagercart/base';
import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { CallError, CallOf, ExchangeKind, ReplyOf, Transport } from '@tanagercart/protocol';
import { LateReplies } from './latereplies.js';
import type { LateReply } from './latereplies.js';

/** Exchanges that only the leader answers. */
export type LeaderExchange = Extract<
  ExchangeKind,
  'watch' | 'beat' | 'heartbeats' | 'submit' | 'adoption' | 'read' | 'parts'
>;

/** What one node did with a call for the leader. */
export interface FailedAttempt {
  readonly node: NodeId;
  readonly outcome: CallError['kind'] | 'not-leader';
  /** The leader that the node named, if it did. */
  readonly leader: NodeId | undefined;
  readonly waitedMs: Millis;
}

/** The error of a call that no leader answered. */
export interface NoLeader {
  readonly kind: 'no-leader';
  /** Whether a node may have executed the call, although no reply arrived. */
  readonly maybeDone: boolean;
  /** The nodes that were called, in order. */
  readonly attempts: readonly FailedAttempt[];
}

/** Whether a node may have executed a call that ended like this. */
function isMaybeDone(outcome: FailedAttempt['outcome']): boolean {
  return outcome === 'lost' || outcome === 'timeout';
}

/** The last attempts of a failed call in one line, for the log. */
export function formatAttempts(attempts: readonly FailedAttempt[]): string {
  const format = ({ node, outcome, leader, waitedMs }: FailedAttempt) =>
    `${node} ${outcome}${leader === undefined ? '' : ` (${leader})`} ${Math.round(waitedMs)}`;
  return attempts.slice(-maxFormattedAttempts).map(format).join(', ');
}

/** Time for one node to reply, in addition to the time for which the leader may hold the call. */
const replyTimeoutMs: Millis = 700;

/** Bounds the attempts that a log line names; nodes that are down are tried many times a second. */
const maxFormattedAttempts = 8;

/** Interval at which another node is asked whether it still follows a leader whose reply is late. */
const recheckMs: Millis = 700;

/** Pause after all candidates were tried, before they are tried again. */
const retryPauseMs: Millis = 60;

/** The reply of a node that leads. */
type LeaderReply<K extends LeaderExchange> = Exclude<ReplyOf<K>, { kind: 'not-leader' }>;

/** How long to wait for the reply of one node. */
interface AskLimits {
  readonly timeoutMs: Millis;
  readonly patienceMs: Millis;
  /** Whether the node led lately, or is named as the leader by another. */
  readonly mayLead: boolean;
}

/** The reply, if it is one of a node that leads. */
function leaderReplyOf<K extends LeaderExchange>(
  reply: Result<ReplyOf<K>, CallError>,
): LeaderReply<K> | undefined {
  return reply.isOk() && reply.value.kind !== 'not-leader'
    ? (reply.value as LeaderReply<K>)
    : undefined;
}

/** The error of a leader that did not carry out a call. */
export function noLeader(maybeDone: boolean): NoLeader {
  return { kind: 'no-leader', maybeDone, attempts: [] };
}

export interface LeaderClientOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  /** Nodes that may be the leader, the most likely first. */
  readonly candidates: () => readonly NodeId[];
}

/** Calls the last known leader, and tries the other candidates while it is unknown or fails. */
export class LeaderClient {
  private leaderId: NodeId | undefined;
  /** Time of the last failed call to each node. Nodes that failed recently are tried last. */
  private readonly failedAt = new Map<NodeId, Millis>();

  private constructor(private readonly o: LeaderClientOptions) {}

  static create(options: LeaderClientOptions): LeaderClient {
    return new LeaderClient(options);
  }

  /** The node that last answered as the leader or was named as the leader, if it is known. */
  get leader(): NodeId | undefined {
    return this.leaderId;
  }

  /**
   * Tries candidates until the leader has answered, for at most `withinMs`. The call must be
   * idempotent, as several nodes may execute it. A leader that another node follows is waited for
   * until the end, as it may be busy: one more call would only make it later. A call that the
   * leader may hold for `holdMs` is not repeated after a failure, which may have taken that long to
   * notice. A reply that is late by more is waited for while another node follows the leader, for
   * `patienceMs` at most.
   */
  async call<K extends LeaderExchange>(
    kind: K,
    call: CallOf<K>,
    withinMs: Millis,
    { holdMs = 0, patienceMs = 0 }: { readonly holdMs?: Millis; readonly patienceMs?: Millis } = {},
  ): Promise<Result<LeaderReply<K>, NoLeader>> {
    const { clock } = this.o;
    const deadline = clock.now() + withinMs;
    const attempts: FailedAttempt[] = [];
    const failed = () => {
      const maybeDone = attempts.some((a) => isMaybeDone(a.outcome));
      return err<never, NoLeader>({ kind: 'no-leader', maybeDone, attempts });
    };
    let tried = new Set<NodeId>();
    /** A node that another one follows as the leader: it runs, however late it replies. */
    let followed: NodeId | undefined;
    const known = this.leaderId;
    /** Nodes that say they do not lead, whatever others say of them. */
    const refused = new Set<NodeId>();
    const late = LateReplies.create<LeaderReply<K>>();
    const found = ({ node, reply }: LateReply<LeaderReply<K>>) => {
      late.end();
      this.leaderId = node;
      this.failedAt.delete(node);
      return ok(reply);
    };
    for (;;) {
      const node = this.nextCandidate(tried);
      if (node === undefined) {
        if (clock.now() + retryPauseMs >= deadline) break;
        await clock.sleep(retryPauseMs);
        tried = new Set();
        refused.clear();
        continue;
      }
      tried.add(node);
      const calledAt = clock.now();
      const leftMs = Math.max(1, deadline - calledAt);
      const timeoutMs = (node === followed ? leftMs : Math.min(replyTimeoutMs, leftMs)) + holdMs;
      const mayLead = node === followed || node === known;
      const asked = this.ask(node, kind, call, { timeoutMs, patienceMs, mayLead }, late);
      const reply = await Promise.race([asked, late.first]);
      if ('node' in reply) return found(reply);
      const waitedMs = clock.now() - calledAt;
      if (reply.isErr()) {
        attempts.push({ node, outcome: reply.error.kind, leader: undefined, waitedMs });
        if (this.leaderId === node) this.leaderId = undefined;
        this.failedAt.set(node, clock.now());
        if (holdMs > 0) break;
      } else if (reply.value.kind !== 'not-leader') {
        return found({ node, reply: reply.value as LeaderReply<K> });
      } else {
        const leader = 'leader' in reply.value ? reply.value.leader : undefined;
        attempts.push({ node, outcome: 'not-leader', leader, waitedMs });
        refused.add(node);
        this.leaderId = leader !== undefined && refused.has(leader) ? undefined : leader;
        followed = this.leaderId;
        // It may be late with a first reply: this node was not known to lead when it was called.
        if (followed !== undefined) tried.delete(followed);
        // A node that knows no leader may have waited for one, and is asked last.
        if (followed === undefined) this.failedAt.set(node, clock.now());
      }
      if (clock.now() >= deadline) break;
    }
    const last = await late.firstWithin(replyTimeoutMs, clock);
    if (last) return found(last);
    late.end();
    return failed();
  }

  /**
   * Calls one node. A reply after `timeoutMs` is waited for while another node follows this one, if it
   * `mayLead`, for `patienceMs` at most; otherwise it goes to `late`.
   */
  private async ask<K extends LeaderExchange>(
    node: NodeId,
    kind: K,
    call: CallOf<K>,
    { timeoutMs, patienceMs, mayLead }: AskLimits,
    late: LateReplies<LeaderReply<K>>,
  ): Promise<Result<ReplyOf<K>, CallError>> {
    const { clock, transport } = this.o;
    if (patienceMs === 0) return transport.call(node, kind, call, { timeoutMs });
    const giveUp = new AbortController();
    const answered = createStopController();
    const signal = AbortSignal.any([giveUp.signal, late.ended]);
    const options = { timeoutMs: timeoutMs + patienceMs, signal };
    const reply = transport.call(node, kind, call, options);
    void reply.then(() => answered.abort());
    await clock.sleep(timeoutMs, answered.signal);
    if (!mayLead && !answered.signal.aborted) {
      late.expect(node, reply.then(leaderReplyOf));
      return err({ kind: 'timeout' });
    }
    while (!answered.signal.aborted) {
      const isFollowed = await this.isFollowed(node);
      if (!isFollowed && !answered.signal.aborted) giveUp.abort(waitEnded);
      else await clock.sleep(recheckMs, answered.signal);
    }
    return reply;
  }

  /** Whether one of the other candidates says that it follows `node` as the leader. */
  private async isFollowed(node: NodeId): Promise<boolean> {
    const other = this.nextCandidate(new Set([node]));
    if (other === undefined) return false;
    // A call without heartbeats has no effect; it is answered by the leader only.
    const call = { heartbeats: [] };
    const options = { timeoutMs: replyTimeoutMs };
    const reply = await this.o.transport.call(other, 'heartbeats', call, options);
    if (reply.isErr()) {
      this.failedAt.set(other, this.o.clock.now());
      return false;
    }
    const leader = reply.value.kind === 'accepted' ? other : reply.value.leader;
    if (leader !== node) this.leaderId = leader;
    return leader === node;
  }

  private nextCandidate(tried: ReadonlySet<NodeId>): NodeId | undefined {
    if (this.leaderId !== undefined && !tried.has(this.leaderId)) return this.leaderId;
    const failedAt = (n: NodeId) => this.failedAt.get(n) ?? -Infinity;
    const untried = this.o.candidates().filter((n) => !tried.has(n));
    return [...untried].sort((a, b) => failedAt(a) - failedAt(b))[0];
  }
}

/**
 * Queue of the requests that wait at one owner. Start-time fair queueing shares the slots among the
 * client accounts by weight, so that the backlog of one account does not delay the others.
 */

import type { AccountId, Millis, NodeId } from '@tanagercart/base';
import type { AcquireCall, AcquireReply } from '@tanagercart/protocol';

/** A request that waits for a grant. */
export interface QueuedRequest {
  /** Identifies the attempt: id of the request and number of the attempt. */
  readonly attemptKey: string;
  readonly call: AcquireCall;
  /** The node that accepted the request and polls the owner for it. */
  readonly entry: NodeId;
  /** Urgency of the tier, plus a penalty after an overrun; 0 is the most urgent. */
  readonly urgency: number;
  /** Latency target of the tier for the first token. */
  readonly firstTokenMs: Millis;
  /** Longest inter-token latency that the tier allows. */
  readonly tokenGapMs: Millis;
  readonly arrivedAt: Millis;
  /** Time at which the first token is due. */
  readonly deadline: Millis;
  /** Tokens that the request is expected to generate. */
  readonly expectedTokens: number;
  /**
   * Virtual time at which the request starts, by the fair share of its account. Virtual time is in
   * expected tokens divided by the weight of the account.
   */
  readonly startTag: number;
  /** When the entry last polled for this request. */
  polledAt: Millis;
  /** Answers the pending poll for this request; undefined between two polls. */
  reply: ((reply: AcquireReply) => void) | undefined;
}

/**
 * Fraction of the latency target for the first token after which a waiting request becomes as
 * urgent as the most urgent ones. Protects less urgent requests against starvation.
 */
const agingFraction = 0.5;

/** The order is computed again after this time, because requests become more urgent with age. */
const maxOrderAgeMs: Millis = 50;

/** Orders requests by urgency, then by the weighted fair share of their client accounts. */
export class FairQueue {
  private readonly byAttemptKey = new Map<string, QueuedRequest>();
  /** Finish tag (virtual time) of the newest request of an account, by urgency and account. */
  private readonly finishTags = new Map<string, number>();
  private order: readonly QueuedRequest[] | undefined;
  private orderedAt: Millis = 0;
  /** Virtual time of each urgency: the highest start tag of a granted request. */
  private readonly virtualTimes = new Map<number, number>();

  static create(): FairQueue {
    return new FairQueue();
  }

  get size(): number {
    return this.byAttemptKey.size;
  }

  /** All requests, in no particular order. */
  get requests(): readonly QueuedRequest[] {
    return [...this.byAttemptKey.values()];
  }

  get(attemptKey: string): QueuedRequest | undefined {
    return this.byAttemptKey.get(attemptKey);
  }

  add(request: QueuedRequest): void {
    this.byAttemptKey.set(request.attemptKey, request);
    this.order = undefined;
  }

  remove(attemptKey: string): void {
    if (!this.byAttemptKey.delete(attemptKey)) return;
    this.order = this.order?.filter((r) => r.attemptKey !== attemptKey);
  }

  /** Charges `cost` expected tokens to an account and returns the start tag of the request. */
  assignStartTag(account: AccountId, urgency: number, cost: number, weight: number): number {
    const key = `${urgency}|${account}`;
    const start = Math.max(this.virtualTimes.get(urgency) ?? 0, this.finishTags.get(key) ?? 0);
    this.finishTags.set(key, start + cost / weight);
    return start;
  }

  /** Advances the virtual time to the start tag of a request that was granted. */
  advanceVirtualTime(request: QueuedRequest): void {
    const virtualTime = Math.max(this.virtualTimes.get(request.urgency) ?? 0, request.startTag);
    this.virtualTimes.set(request.urgency, virtualTime);
    const key = `${request.urgency}|${request.call.account}`;
    if ((this.finishTags.get(key) ?? Infinity) <= virtualTime) this.finishTags.delete(key);
  }

  /** All requests, in the order in which the owner tries to grant them. */
  inOrder(now: Millis): readonly QueuedRequest[] {
    if (!this.order || now - this.orderedAt > maxOrderAgeMs) {
      this.order = [...this.byAttemptKey.values()].sort((a, b) => compare(a, b, now));
      this.orderedAt = now;
    }
    return this.order;
  }

  /**
   * Requests that may be served before a new one of `urgency`: those that are at least as urgent.
   */
  ahead(urgency: number, now: Millis): readonly QueuedRequest[] {
    return [...this.byAttemptKey.values()].filter((r) => effectiveUrgency(r, now) <= urgency);
  }
}

/**
 * Urgency of a request, or 0 (the most urgent) once it has waited for longer than `agingFraction`
 * of its latency target for the first token.
 */
export function effectiveUrgency(r: QueuedRequest, now: Millis): number {
  return now - r.arrivedAt > r.firstTokenMs * agingFraction ? 0 : r.urgency;
}

function compare(a: QueuedRequest, b: QueuedRequest, now: Millis): number {
  return (
    effectiveUrgency(a, now) - effectiveUrgency(b, now) ||
    a.startTag - b.startTag ||
    a.arrivedAt - b.arrivedAt
  );
}

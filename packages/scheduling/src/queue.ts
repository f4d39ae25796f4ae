/**
 * Queue of the requests that wait at one owner. Start-time fair queueing shares the slots among the
 * client accounts by weight, so that the backlog of one account does not delay the others.
 */

import type { AccountId, Millis, NodeId } from '@tanagercart/base';
import type { AcquireCall, AcquireReply } from '@tanagercart/protocol';

/** A request that waits for a grant. */
export interface QueuedRequest {
  /** Identifies the attempt: id of the request and number of the attempt. */
  readonly key: string;
  readonly call: AcquireCall;
  readonly entry: NodeId;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Time to first token that the tier promises. */
  readonly firstTokenMs: Millis;
  /** Time between two tokens that the tier promises. */
  readonly tokenGapMs: Millis;
  readonly arrivedAt: Millis;
  /** Time at which the first token is due. */
  readonly deadline: Millis;
  /** Tokens that the request is expected to generate. */
  readonly expectedTokens: number;
  /** Virtual time at which the request starts, by the fair share of its account. */
  readonly startTag: number;
  /** When the entry last called for this request. */
  polledAt: Millis;
  /** Answers the call that the owner holds for this request; undefined between two polls. */
  reply: ((reply: AcquireReply) => void) | undefined;
}

/**
 * Fraction of the promised time to first token after which a waiting request becomes as urgent as
 * the most urgent ones. Protects less urgent requests against starvation.
 */
const agingFraction = 0.5;

/** The order is computed again after this time, as requests become more urgent with age. */
const maxOrderAgeMs: Millis = 50;

/** Orders requests by urgency, then by the weighted fair share of their client accounts. */
export class FairQueue {
  private readonly byKey = new Map<string, QueuedRequest>();
  /** Virtual time at which the last request of an account ends, by urgency and account. */
  private readonly finishTags = new Map<string, number>();
  private order: readonly QueuedRequest[] | undefined;
  private orderedAt: Millis = 0;
  /** Virtual time of each urgency: the highest start tag that was served. */
  private readonly virtualTimes = new Map<number, number>();

  static create(): FairQueue {
    return new FairQueue();
  }

  get size(): number {
    return this.byKey.size;
  }

  /** All requests, in no particular order. */
  get requests(): readonly QueuedRequest[] {
    return [...this.byKey.values()];
  }

  get(key: string): QueuedRequest | undefined {
    return this.byKey.get(key);
  }

  add(request: QueuedRequest): void {
    this.byKey.set(request.key, request);
    this.order = undefined;
  }

  remove(key: string): void {
    if (!this.byKey.delete(key)) return;
    this.order = this.order?.filter((r) => r.key !== key);
  }

  /** Reserves `cost` tokens in the share of an account and returns the start tag for them. */
  assignStartTag(account: AccountId, urgency: number, cost: number, weight: number): number {
    const key = `${urgency}|${account}`;
    const start = Math.max(this.virtualTimes.get(urgency) ?? 0, this.finishTags.get(key) ?? 0);
    this.finishTags.set(key, start + cost / weight);
    return start;
  }

  /** Advances the virtual time to the start tag of a request that was served. */
  advanceVirtualTime(request: QueuedRequest): void {
    const virtualTime = Math.max(this.virtualTimes.get(request.urgency) ?? 0, request.startTag);
    this.virtualTimes.set(request.urgency, virtualTime);
    const key = `${request.urgency}|${request.call.account}`;
    if ((this.finishTags.get(key) ?? Infinity) <= virtualTime) this.finishTags.delete(key);
  }

  /** All requests, in the order in which they are served. */
  inOrder(now: Millis): readonly QueuedRequest[] {
    if (!this.order || now - this.orderedAt > maxOrderAgeMs) {
      this.order = [...this.byKey.values()].sort((a, b) => compare(a, b, now));
      this.orderedAt = now;
    }
    return this.order;
  }

  /** Requests that are served before a new one of `urgency`: those that are at least as urgent. */
  ahead(urgency: number, now: Millis): readonly QueuedRequest[] {
    return [...this.byKey.values()].filter((r) => effectiveUrgency(r, now) <= urgency);
  }
}

/** Urgency of a request, or 0 (the most urgent) once it has waited for long. */
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

/** The requests that wait at one owner, in the order in which they are served. */

import type { AccountId, Millis, NodeId } from '@tanagercart/base';
import type { AcquireCall, AcquireReply } from '@tanagercart/protocol';

/** One waiting request. */
export interface QueuedRequest {
  readonly key: string;
  readonly call: AcquireCall;
  readonly entry: NodeId;
  readonly urgency: number;
  readonly firstTokenMs: Millis;
  readonly tokenGapMs: Millis;
  readonly arrivedAt: Millis;
  /** When its first token is due. */
  readonly deadline: Millis;
  readonly expectedTokens: number;
  /** Position in its account's fair share. */
  readonly startTag: number;
  polledAt: Millis;
  /** Answers the call that is held for this ticket; undefined between polls. */
  reply: ((reply: AcquireReply) => void) | undefined;
}

/** Share of its promise after which a ticket goes before more urgent ones. */
const agingFraction = 0.5;

/** Age at which the order is worked out again, as tickets age, in milliseconds. */
const maxOrderAgeMs: Millis = 50;

/** A fair queue: more urgent first, then by weighted share of each client account. */
export class FairQueue {
  private readonly byKey = new Map<string, QueuedRequest>();
  private readonly finishTags = new Map<string, number>();
  private order: readonly QueuedRequest[] | undefined;
  private orderedAt: Millis = 0;
  private readonly virtualTimes = new Map<number, number>();

  static create(): FairQueue {
    return new FairQueue();
  }

  get size(): number {
    return this.byKey.size;
  }

  /** Every ticket, in no order. */
  get requests(): readonly QueuedRequest[] {
    return [...this.byKey.values()];
  }

  get(key: string): QueuedRequest | undefined {
    return this.byKey.get(key);
  }

  add(ticket: QueuedRequest): void {
    this.byKey.set(ticket.key, ticket);
    this.order = undefined;
  }

  remove(key: string): void {
    if (!this.byKey.delete(key)) return;
    this.order = this.order?.filter((t) => t.key !== key);
  }

  /** The next position in the share of an account, for work of `cost` tokens. */
  assignStartTag(account: AccountId, urgency: number, cost: number, weight: number): number {
    const key = `${urgency}|${account}`;
    const start = Math.max(this.virtualTimes.get(urgency) ?? 0, this.finishTags.get(key) ?? 0);
    this.finishTags.set(key, start + cost / weight);
    return start;
  }

  /** Moves the virtual time to that of a ticket which was served. */
  advanceVirtualTime(ticket: QueuedRequest): void {
    const floor = Math.max(this.virtualTimes.get(ticket.urgency) ?? 0, ticket.startTag);
    this.virtualTimes.set(ticket.urgency, floor);
    const key = `${ticket.urgency}|${ticket.call.account}`;
    if ((this.finishTags.get(key) ?? Infinity) <= floor) this.finishTags.delete(key);
  }

  /** Every ticket, first to be served first. */
  inOrder(now: Millis): readonly QueuedRequest[] {
    if (!this.order || now - this.orderedAt > maxOrderAgeMs) {
      this.order = [...this.byKey.values()].sort((a, b) => compare(a, b, now));
      this.orderedAt = now;
    }
    return this.order;
  }

  /** Tickets that would be served before one of `urgency` that arrived now. */
  ahead(urgency: number, now: Millis): readonly QueuedRequest[] {
    return [...this.byKey.values()].filter((t) => effectiveUrgency(t, now) <= urgency);
  }
}

/** Urgency, or 0 once a ticket has waited for a share of its own promise. */
export function effectiveUrgency(t: QueuedRequest, now: Millis): number {
  return now - t.arrivedAt > t.firstTokenMs * agingFraction ? 0 : t.urgency;
}

function compare(a: QueuedRequest, b: QueuedRequest, now: Millis): number {
  return (
    effectiveUrgency(a, now) - effectiveUrgency(b, now) ||
    a.startTag - b.startTag ||
    a.arrivedAt - b.arrivedAt
  );
}

/** The requests that wait at one owner, in the order in which they are served. */

import type { AccountId, Millis, NodeId } from '@tanagercart/base';
import type { AcquireCall, AcquireReply } from '@tanagercart/protocol';

/** One waiting request. */
export interface Ticket {
  readonly key: string;
  readonly call: AcquireCall;
  readonly entry: NodeId;
  readonly urgency: number;
  readonly firstTokenMs: Millis;
  readonly gapMs: Millis;
  readonly arrivedAt: Millis;
  /** When its first token is due. */
  readonly dueAt: Millis;
  readonly estimate: number;
  /** Position in its account's fair share. */
  readonly tag: number;
  polledAt: Millis;
  /** Answers the call that is held for this ticket; undefined between polls. */
  answer: ((reply: AcquireReply) => void) | undefined;
}

/** Share of its promise after which a ticket goes before more urgent ones. */
const agingShare = 0.5;

/** Age at which the order is worked out again, as tickets age, in milliseconds. */
const resortMs: Millis = 50;

/** A fair queue: more urgent first, then by weighted share of each client account. */
export class FairQueue {
  private readonly waiting = new Map<string, Ticket>();
  private readonly served = new Map<string, number>();
  private sorted: readonly Ticket[] | undefined;
  private sortedAt: Millis = 0;
  private readonly floors = new Map<number, number>();

  static create(): FairQueue {
    return new FairQueue();
  }

  get size(): number {
    return this.waiting.size;
  }

  /** Every ticket, in no order. */
  get tickets(): readonly Ticket[] {
    return [...this.waiting.values()];
  }

  get(key: string): Ticket | undefined {
    return this.waiting.get(key);
  }

  add(ticket: Ticket): void {
    this.waiting.set(ticket.key, ticket);
    this.sorted = undefined;
  }

  remove(key: string): void {
    if (!this.waiting.delete(key)) return;
    this.sorted = this.sorted?.filter((t) => t.key !== key);
  }

  /** The next position in the share of an account, for work of `cost` tokens. */
  tagOf(account: AccountId, urgency: number, cost: number, weight: number): number {
    const key = `${urgency}|${account}`;
    const start = Math.max(this.floors.get(urgency) ?? 0, this.served.get(key) ?? 0);
    this.served.set(key, start + cost / weight);
    return start;
  }

  /** Moves the virtual time to that of a ticket which was served. */
  advance(ticket: Ticket): void {
    const floor = Math.max(this.floors.get(ticket.urgency) ?? 0, ticket.tag);
    this.floors.set(ticket.urgency, floor);
    const key = `${ticket.urgency}|${ticket.call.account}`;
    if ((this.served.get(key) ?? Infinity) <= floor) this.served.delete(key);
  }

  /** Every ticket, first to be served first. */
  ordered(now: Millis): readonly Ticket[] {
    if (!this.sorted || now - this.sortedAt > resortMs) {
      this.sorted = [...this.waiting.values()].sort((a, b) => compare(a, b, now));
      this.sortedAt = now;
    }
    return this.sorted;
  }

  /** Tickets that would be served before one of `urgency` that arrived now. */
  ahead(urgency: number, now: Millis): readonly Ticket[] {
    return [...this.waiting.values()].filter((t) => rank(t, now) <= urgency);
  }
}

/** Urgency, or 0 once a ticket has waited for a share of its own promise. */
export function rank(t: Ticket, now: Millis): number {
  return now - t.arrivedAt > t.firstTokenMs * agingShare ? 0 : t.urgency;
}

function compare(a: Ticket, b: Ticket, now: Millis): number {
  return rank(a, now) - rank(b, now) || a.tag - b.tag || a.arrivedAt - b.arrivedAt;
}

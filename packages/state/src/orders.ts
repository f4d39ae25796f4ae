/** Orders that were claimed, each at most once. */

import { unreachable } from '@tanagercart/base';
import type { AccountId, Digest, Millis, NodeId } from '@tanagercart/base';

/** An order whose claim is this old and has no outcome becomes unknown, in milliseconds. */
export const claimExpiryMs: Millis = 60_000;

/** Time for which an order is remembered after its claim, in milliseconds. */
export const orderRetentionMs: Millis = 24 * 60 * 60_000;

/** Longest body of an answer that is recorded, in characters. */
export const maxRecordedBodyChars = 4096;

/** Names an order: one idempotency key of one account. */
export interface OrderKey {
  readonly account: AccountId;
  readonly key: string;
}

/** How an order ended. */
export type OrderOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  /** Answered with a body over the limit, of which only the digest is kept. */
  | {
      readonly kind: 'answered-large';
      readonly status: number;
      readonly digest: Digest;
      readonly length: number;
    }
  | { readonly kind: 'not-run' }
  | { readonly kind: 'unknown' };

/** An order that was claimed. */
export interface Order {
  readonly digest: Digest;
  /** Who may send the order: a node and its request. */
  readonly claimant: string;
  /** Wall time of the claim. */
  readonly at: Millis;
  readonly outcome: OrderOutcome | undefined;
}

/** Changes of orders. */
export type OrderCommand =
  | {
      readonly kind: 'claim-order';
      readonly order: OrderKey;
      readonly digest: Digest;
      readonly claimant: string;
      readonly at: Millis;
    }
  | {
      readonly kind: 'settle-order';
      readonly order: OrderKey;
      readonly claimant: string;
      readonly outcome: OrderOutcome;
    };

/** What became of a change of orders. */
export type OrderCommandOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'stale' }
  | { readonly kind: 'order-claimed' }
  | { readonly kind: 'order-known'; readonly outcome: OrderOutcome | undefined }
  | { readonly kind: 'order-conflict' };

/** Orders as a snapshot holds them. */
export interface OrderSnapshot {
  readonly orders: readonly (readonly [string, Order])[];
  readonly latest: Millis;
}

/** Keeps claims and outcomes of orders. Its time is the latest `at` of a claim. */
export class OrderTable {
  /** Orders by name, oldest claim first. */
  private readonly table = new Map<string, Order>();
  /** Names of the orders without an outcome. */
  private readonly open = new Set<string>();
  private latest: Millis = 0;

  static create(): OrderTable {
    return new OrderTable();
  }

  get size(): number {
    return this.table.size;
  }

  find(key: OrderKey): Order | undefined {
    return this.table.get(nameOf(key));
  }

  apply(command: OrderCommand): OrderCommandOutcome {
    switch (command.kind) {
      case 'claim-order':
        return this.claim(command.order, command.digest, command.claimant, command.at);
      case 'settle-order':
        return this.settle(command.order, command.claimant, command.outcome);
      default:
        return unreachable(command);
    }
  }

  /** Makes the open orders of a node that is gone unknown. */
  expireClaims(node: NodeId): void {
    for (const name of [...this.open]) {
      const order = this.table.get(name)!;
      if (order.claimant.startsWith(`${node}/`)) this.end(name, order, { kind: 'unknown' });
    }
  }

  snapshot(): OrderSnapshot {
    return { orders: [...this.table], latest: this.latest };
  }

  restore(snapshot: OrderSnapshot): void {
    this.table.clear();
    this.open.clear();
    this.latest = snapshot.latest;
    for (const [name, order] of snapshot.orders) {
      this.table.set(name, order);
      if (!order.outcome) this.open.add(name);
    }
  }

  private claim(key: OrderKey, digest: Digest, claimant: string, at: Millis): OrderCommandOutcome {
    this.advance(at);
    const known = this.find(key);
    if (known && known.digest !== digest) return { kind: 'order-conflict' };
    // A claimant that lost the answer to its claim learns here that it holds it.
    if (known?.claimant === claimant && !known.outcome) return { kind: 'order-claimed' };
    if (known && known.outcome?.kind !== 'not-run') {
      return { kind: 'order-known', outcome: known.outcome };
    }
    const name = nameOf(key);
    this.table.delete(name);
    this.table.set(name, { digest, claimant, at: this.latest, outcome: undefined });
    this.open.add(name);
    return { kind: 'order-claimed' };
  }

  private settle(key: OrderKey, claimant: string, outcome: OrderOutcome): OrderCommandOutcome {
    const known = this.find(key);
    const settled = known?.outcome && known.outcome.kind !== 'unknown';
    if (!known || known.claimant !== claimant || settled) return { kind: 'stale' };
    this.end(nameOf(key), known, outcome);
    return { kind: 'done' };
  }

  private end(name: string, order: Order, outcome: OrderOutcome): void {
    this.table.set(name, { ...order, outcome });
    this.open.delete(name);
  }

  /** Moves the time of the table forward; claims lapse and records expire by it. */
  private advance(at: Millis): void {
    this.latest = Math.max(this.latest, at);
    for (const name of [...this.open]) {
      const order = this.table.get(name)!;
      if (order.at + claimExpiryMs > this.latest) break;
      this.end(name, order, { kind: 'unknown' });
    }
    for (const [name, order] of this.table) {
      if (order.at + orderRetentionMs > this.latest) break;
      this.table.delete(name);
      this.open.delete(name);
    }
  }
}

function nameOf(key: OrderKey): string {
  return JSON.stringify([key.account, key.key]);
}

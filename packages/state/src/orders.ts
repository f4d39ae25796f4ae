/**
 * Orders: requests with an idempotency key, which are sent at most once. A node claims an order
 * before it sends the request to an upstream, and records the outcome afterwards. A repetition of
 * the request gets the recorded outcome.
 */

import { unreachable } from '@tanagercart/base';
import type { AccountId, Digest, Millis, NodeId } from '@tanagercart/base';

/** An order without an outcome gets the outcome `unknown` this long after its claim. */
export const claimExpiryMs: Millis = 60_000;

/** How long an order is kept after its claim; a later request with its key is a new order. */
export const orderRetentionMs: Millis = 24 * 60 * 60_000;

/** Bounds the bodies that the state records; of a longer one it keeps only the digest. */
export const maxRecordedBodyChars = 4096;

/** Identifies an order by the account and its idempotency key. */
export interface OrderKey {
  readonly account: AccountId;
  readonly key: string;
}

/** The outcome of an order. */
export type OrderOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      readonly contentType: string;
      readonly body: string;
    }
  /** The body was longer than `maxRecordedBodyChars`, so only its digest is kept. */
  | {
      readonly kind: 'answered-large';
      readonly status: number;
      readonly digest: Digest;
      readonly length: number;
    }
  /** The request had no effect, so the order can be claimed again. */
  | { readonly kind: 'not-run' }
  /** The request may or may not have run. */
  | { readonly kind: 'unknown' };

/** A claimed order. */
export interface Order {
  /** Digest of the request; another request under the same key is a conflict. */
  readonly digest: Digest;
  /** The only request that may send the order, as `node/request`. */
  readonly claimant: string;
  /** Wall time of the claim, never earlier than that of an older claim. */
  readonly at: Millis;
  readonly outcome: OrderOutcome | undefined;
}

/** Commands that claim an order or record its outcome. */
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

/** The outcome of a command on orders. */
export type OrderCommandOutcome =
  | { readonly kind: 'done' }
  /** The claim belongs to another request or already has an outcome. */
  | { readonly kind: 'stale' }
  /** The claimant holds the claim and may send the request. */
  | { readonly kind: 'order-claimed' }
  /** Another request claimed the order; `outcome` is undefined while it runs. */
  | { readonly kind: 'order-known'; readonly outcome: OrderOutcome | undefined }
  /** The key was used before with another request. */
  | { readonly kind: 'order-conflict' };

/** The table as a snapshot stores it. */
export interface OrderSnapshot {
  readonly orders: readonly (readonly [string, Order])[];
  /** The latest `at` of a claim. */
  readonly latest: Millis;
}

/**
 * The claims and outcomes of orders. Claims expire by the latest `at` of any claim and not by the
 * local clock, so that every node expires them at the same log index.
 */
export class OrderTable {
  /** Orders by the name that `nameOfOrder` returns, the oldest claim first. */
  private readonly orders = new Map<string, Order>();
  /** Names of the orders without an outcome, the oldest claim first. */
  private readonly unsettled = new Set<string>();
  private latest: Millis = 0;

  static create(): OrderTable {
    return new OrderTable();
  }

  get size(): number {
    return this.orders.size;
  }

  find(key: OrderKey): Order | undefined {
    return this.orders.get(nameOfOrder(key));
  }

  apply(command: OrderCommand): OrderCommandOutcome {
    switch (command.kind) {
      case 'claim-order':
        return this.recordClaim(command.order, command.digest, command.claimant, command.at);
      case 'settle-order':
        return this.recordOutcome(command.order, command.claimant, command.outcome);
      default:
        return unreachable(command);
    }
  }

  /** Sets the outcome `unknown` for the unsettled orders of a node that is down. */
  expireClaims(node: NodeId): void {
    for (const name of [...this.unsettled]) {
      const order = this.orders.get(name)!;
      if (order.claimant.startsWith(`${node}/`)) this.setOutcome(name, order, { kind: 'unknown' });
    }
  }

  snapshot(): OrderSnapshot {
    return { orders: [...this.orders], latest: this.latest };
  }

  restore(snapshot: OrderSnapshot): void {
    this.orders.clear();
    this.unsettled.clear();
    this.latest = snapshot.latest;
    for (const [name, order] of snapshot.orders) {
      this.orders.set(name, order);
      if (!order.outcome) this.unsettled.add(name);
    }
  }

  private recordClaim(
    key: OrderKey,
    digest: Digest,
    claimant: string,
    at: Millis,
  ): OrderCommandOutcome {
    this.advanceTime(at);
    const known = this.find(key);
    if (known && known.digest !== digest) return { kind: 'order-conflict' };
    // The claimant repeats its claim when it lost the reply to the first one.
    if (known?.claimant === claimant && !known.outcome) return { kind: 'order-claimed' };
    if (known && known.outcome?.kind !== 'not-run') {
      return { kind: 'order-known', outcome: known.outcome };
    }
    const name = nameOfOrder(key);
    this.orders.delete(name);
    this.orders.set(name, { digest, claimant, at: this.latest, outcome: undefined });
    this.unsettled.add(name);
    return { kind: 'order-claimed' };
  }

  private recordOutcome(
    key: OrderKey,
    claimant: string,
    outcome: OrderOutcome,
  ): OrderCommandOutcome {
    const known = this.find(key);
    const settled = known?.outcome && known.outcome.kind !== 'unknown';
    if (!known || known.claimant !== claimant || settled) return { kind: 'stale' };
    this.setOutcome(nameOfOrder(key), known, outcome);
    return { kind: 'done' };
  }

  private setOutcome(name: string, order: Order, outcome: OrderOutcome): void {
    this.orders.set(name, { ...order, outcome });
    this.unsettled.delete(name);
  }

  /** Advances the time of the table to `at`, and expires claims and orders by it. */
  private advanceTime(at: Millis): void {
    this.latest = Math.max(this.latest, at);
    for (const name of [...this.unsettled]) {
      const order = this.orders.get(name)!;
      if (order.at + claimExpiryMs > this.latest) break;
      this.setOutcome(name, order, { kind: 'unknown' });
    }
    for (const [name, order] of this.orders) {
      if (order.at + orderRetentionMs > this.latest) break;
      this.orders.delete(name);
      this.unsettled.delete(name);
    }
  }
}

function nameOfOrder(key: OrderKey): string {
  return JSON.stringify([key.account, key.key]);
}

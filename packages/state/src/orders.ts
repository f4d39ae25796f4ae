/** Orders that were claimed, each at most once. */

import { unreachable } from '@tanagercart/base';
import type { AccountId, Digest, Millis } from '@tanagercart/base';

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
export type OrderChange =
  | { readonly kind: 'done' }
  | { readonly kind: 'stale' }
  | { readonly kind: 'order-claimed' }
  | { readonly kind: 'order-known'; readonly outcome: OrderOutcome | undefined }
  | { readonly kind: 'order-conflict' };

/** Orders as a snapshot holds them. */
export interface OrderImage {
  readonly orders: readonly (readonly [string, Order])[];
}

/** Keeps claims and outcomes of orders. */
export class OrderTable {
  private readonly table = new Map<string, Order>();

  static create(): OrderTable {
    return new OrderTable();
  }

  get size(): number {
    return this.table.size;
  }

  find(key: OrderKey): Order | undefined {
    return this.table.get(nameOf(key));
  }

  apply(command: OrderCommand): OrderChange {
    switch (command.kind) {
      case 'claim-order':
        return this.claim(command.order, command.digest, command.claimant, command.at);
      case 'settle-order':
        return this.settle(command.order, command.claimant, command.outcome);
      default:
        return unreachable(command);
    }
  }

  image(): OrderImage {
    return { orders: [...this.table] };
  }

  restore(image: OrderImage): void {
    this.table.clear();
    for (const [name, order] of image.orders) {
      this.table.set(name, order);
    }
  }

  private claim(key: OrderKey, digest: Digest, claimant: string, at: Millis): OrderChange {
    const known = this.find(key);
    if (known && known.digest !== digest) {
      return { kind: 'order-conflict' };
    }
    if (known && known.outcome?.kind !== 'not-run') {
      return { kind: 'order-known', outcome: known.outcome };
    }
    this.table.set(nameOf(key), { digest, claimant, at, outcome: undefined });
    return { kind: 'order-claimed' };
  }

  private settle(key: OrderKey, claimant: string, outcome: OrderOutcome): OrderChange {
    const known = this.find(key);
    if (!known || known.claimant !== claimant || known.outcome) {
      return { kind: 'stale' };
    }
    this.table.set(nameOf(key), { ...known, outcome });
    return { kind: 'done' };
  }
}

function nameOf(key: OrderKey): string {
  return JSON.stringify([key.account, key.key]);
}

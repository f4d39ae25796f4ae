/** Budgets that keep retries a small share of requests. */

import type { AccountId } from '@tanagercart/base';

/** Share of all requests of this node that may be retried. */
const nodeShare = 0.06;

/** Retries that a node may save up. */
const nodeBurst = 3;

/** Retries that a client account may save up. */
const accountBurst = 8;

/** Accounts whose budgets are kept at most. */
const accountLimit = 20_000;

/** A token bucket that is filled by requests and emptied by retries. */
export class RetryBudget {
  private saved: number;

  private constructor(
    private readonly share: number,
    private readonly burst: number,
  ) {
    this.saved = burst;
  }

  /** `share` of requests may be retried, and up to `burst` retries are saved up. */
  static create(share: number, burst: number): RetryBudget {
    return new RetryBudget(share, burst);
  }

  /** Notes one new request. */
  deposit(): void {
    this.saved = Math.min(this.burst, this.saved + this.share);
  }

  /** Whether a retry is paid for. */
  get affords(): boolean {
    return this.saved >= 1;
  }

  /** Pays for one retry. */
  withdraw(): void {
    this.saved -= 1;
  }
}

/** The budgets of one node: one for each client account, and one for the node's part of the fleet. */
export class RetryBudgets {
  private readonly node = RetryBudget.create(nodeShare, nodeBurst);
  private readonly accounts = new Map<AccountId, RetryBudget>();

  static create(): RetryBudgets {
    return new RetryBudgets();
  }

  /** Notes a new request of an account that may retry `share` of its requests. */
  request(account: AccountId, share: number): void {
    this.node.deposit();
    this.of(account, share).deposit();
  }

  /** Takes one retry out of both budgets, or neither. */
  take(account: AccountId, share: number): boolean {
    const own = this.of(account, share);
    if (!this.node.affords || !own.affords) return false;
    this.node.withdraw();
    own.withdraw();
    return true;
  }

  private of(account: AccountId, share: number): RetryBudget {
    const known = this.accounts.get(account);
    if (known) return known;
    const fresh = RetryBudget.create(share, accountBurst);
    this.accounts.set(account, fresh);
    const [oldest] = this.accounts.keys();
    if (this.accounts.size > accountLimit && oldest !== undefined) this.accounts.delete(oldest);
    return fresh;
  }
}

/** Budgets that keep retries a small share of requests. */

import type { AccountId } from '@tanagercart/base';

/** Share of all requests of this node that may be retried. */
const nodeRetryRatio = 0.06;

/** Retries that a node may save up. */
const nodeBurst = 3;

/** Retries that a client account may save up. */
const accountBurst = 8;

/** Accounts whose budgets are kept at most. */
const maxAccounts = 20_000;

/** A token bucket that is filled by requests and emptied by retries. */
export class RetryBudget {
  private tokens: number;

  private constructor(
    private readonly ratio: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** `share` of requests may be retried, and up to `burst` retries are saved up. */
  static create(ratio: number, burst: number): RetryBudget {
    return new RetryBudget(ratio, burst);
  }

  /** Notes one new request. */
  deposit(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.ratio);
  }

  /** Whether a retry is paid for. */
  get canWithdraw(): boolean {
    return this.tokens >= 1;
  }

  /** Pays for one retry. */
  withdraw(): void {
    this.tokens -= 1;
  }
}

/** The budgets of one node: one for each client account, and one for the node's part of the fleet. */
export class RetryBudgets {
  private readonly node = RetryBudget.create(nodeRetryRatio, nodeBurst);
  private readonly accounts = new Map<AccountId, RetryBudget>();

  static create(): RetryBudgets {
    return new RetryBudgets();
  }

  /** Notes a new request of an account that may retry `share` of its requests. */
  recordRequest(account: AccountId, ratio: number): void {
    this.node.deposit();
    this.budgetOf(account, ratio).deposit();
  }

  /** Takes one retry out of both budgets, or neither. */
  tryWithdraw(account: AccountId, ratio: number): boolean {
    const own = this.budgetOf(account, ratio);
    if (!this.node.canWithdraw || !own.canWithdraw) return false;
    this.node.withdraw();
    own.withdraw();
    return true;
  }

  private budgetOf(account: AccountId, ratio: number): RetryBudget {
    const known = this.accounts.get(account);
    if (known) return known;
    const fresh = RetryBudget.create(ratio, accountBurst);
    this.accounts.set(account, fresh);
    const [oldest] = this.accounts.keys();
    if (this.accounts.size > maxAccounts && oldest !== undefined) this.accounts.delete(oldest);
    return fresh;
  }
}

/**
 * Retry budgets. Protect failing upstreams from retry storms: retries stay a small fraction of the
 * requests of a client account, and of all requests of this node.
 */

import type { AccountId } from '@tanagercart/base';

/** Retries that a node may send per request. */
const nodeRetryRatio = 0.06;

/** Retries that a node may send at once after a time without any. */
const nodeBurst = 3;

/** Retries that a client account may send at once after a time without any. */
const accountBurst = 8;

/** Bounds the memory for budgets of accounts. The oldest budget is dropped first. */
const maxAccounts = 20_000;

/** A token bucket that requests fill and retries empty. */
export class RetryBudget {
  private tokens: number;

  private constructor(
    private readonly ratio: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  /** Creates a full bucket of `burst` tokens, to which each request adds `ratio` tokens. */
  static create(ratio: number, burst: number): RetryBudget {
    return new RetryBudget(ratio, burst);
  }

  /** Adds the share of one new request. */
  deposit(): void {
    this.tokens = Math.min(this.burst, this.tokens + this.ratio);
  }

  /** Whether the budget allows a retry. */
  get canWithdraw(): boolean {
    return this.tokens >= 1;
  }

  /** Takes one retry out of the budget. */
  withdraw(): void {
    this.tokens -= 1;
  }
}

/**
 * The budgets of one node: one for each client account, and one for all its requests, which bounds
 * the node's part of the retries in the cluster.
 */
export class RetryBudgets {
  private readonly node = RetryBudget.create(nodeRetryRatio, nodeBurst);
  private readonly accounts = new Map<AccountId, RetryBudget>();

  static create(): RetryBudgets {
    return new RetryBudgets();
  }

  /** Records a new request of an account that may send `ratio` retries per request. */
  recordRequest(account: AccountId, ratio: number): void {
    this.node.deposit();
    this.budgetOf(account, ratio).deposit();
  }

  /** Takes one retry out of the budgets of the account and the node, or out of neither. */
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

/** Estimates how many tokens a request will generate. */

import type { AccountId, TierId } from '@tanagercart/base';

/** Tokens assumed for an account without history. */
const priorTokens = 256;

/** Weight of one observation. */
const observationWeight = 0.1;

/** Accounts and tiers remembered at most. */
const historyLimit = 20_000;

/** Running mean of answer lengths by client account and tier. */
export class Lengths {
  private readonly means = new Map<string, number>();

  static create(): Lengths {
    return new Lengths();
  }

  /** Tokens that a request is likely to generate; never more than it allows. */
  estimate(account: AccountId, tier: TierId, maxTokens: number): number {
    return Math.min(maxTokens, this.means.get(keyOf(account, tier)) ?? priorTokens);
  }

  /** Learns from an answer that ran to its end. */
  observe(account: AccountId, tier: TierId, tokens: number): void {
    const key = keyOf(account, tier);
    const mean = this.means.get(key) ?? priorTokens;
    if (!this.means.has(key) && this.means.size >= historyLimit) this.forgetOldest();
    this.means.delete(key);
    this.means.set(key, mean + (tokens - mean) * observationWeight);
  }

  private forgetOldest(): void {
    const [oldest] = this.means.keys();
    if (oldest !== undefined) this.means.delete(oldest);
  }
}

function keyOf(account: AccountId, tier: TierId): string {
  return `${account}|${tier}`;
}

/** Estimates how many tokens a request will generate, from earlier answers. */

import type { AccountId, TierId } from '@tanagercart/base';

/** Estimate for an account and tier without observations. */
const defaultTokens = 256;

/** Weight of the newest observation in the exponential moving average. */
const smoothingFactor = 0.1;

/** Bounds the memory: the pair of account and tier that was observed longest ago is evicted. */
const maxMeans = 20_000;

/** Moving averages of answer lengths, in tokens, by client account and tier. */
export class AnswerLengths {
  private readonly means = new Map<string, number>();

  static create(): AnswerLengths {
    return new AnswerLengths();
  }

  /** Expected tokens of an answer; at most `maxTokens`. */
  estimate(account: AccountId, tier: TierId, maxTokens: number): number {
    return Math.min(maxTokens, this.means.get(keyOf(account, tier)) ?? defaultTokens);
  }

  /** Records the length of a complete answer. */
  observe(account: AccountId, tier: TierId, tokens: number): void {
    const key = keyOf(account, tier);
    const mean = this.means.get(key) ?? defaultTokens;
    if (!this.means.has(key) && this.means.size >= maxMeans) this.evictOldest();
    this.means.delete(key);
    this.means.set(key, mean + (tokens - mean) * smoothingFactor);
  }

  private evictOldest(): void {
    const [oldest] = this.means.keys();
    if (oldest !== undefined) this.means.delete(oldest);
  }
}

function keyOf(account: AccountId, tier: TierId): string {
  return `${account}|${tier}`;
}

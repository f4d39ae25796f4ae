/** What one node holds of one account's limits. */

import type { Millis } from '@tanagercart/base';
import type { LimitAmounts } from '@tanagercart/protocol';

/** How far ahead a node asks, in milliseconds of its recent demand. */
export const aheadMs: Millis = 100;

/** Time over which demand is averaged, in milliseconds. */
const demandWindowMs: Millis = 250;

/** Amounts of nothing. */
export const nothing: LimitAmounts = { permits: 0, requests: 0, tokens: 0 };

/** Permits, requests and tokens that a node may use without asking; and how fast it uses them. */
export class Share {
  private permits = 0;
  private requests = 0;
  private tokens = 0;
  /** Permits in use by requests in progress. */
  private inUse = 0;
  /** Whether idle permits should go back at once. */
  scarce = false;
  private requestRate = 0;
  private tokenRate = 0;
  private demandAt: Millis;
  private usedAt: Millis;

  private constructor(now: Millis) {
    this.demandAt = now;
    this.usedAt = now;
  }

  static create(now: Millis): Share {
    return new Share(now);
  }

  /** Permits held, in use or not. */
  get held(): number {
    return this.permits;
  }

  get running(): number {
    return this.inUse;
  }

  /** Whether there is anything to give back, or a debt to tell of. */
  get hasSpare(): boolean {
    return this.permits > this.inUse || this.requests > 0 || this.tokens !== 0;
  }

  /** When the share was last used. */
  get lastUse(): Millis {
    return this.usedAt;
  }

  /** Notes that a request came, whether or not it can be admitted. */
  demand(tokens: number, now: Millis): void {
    const decay = Math.exp(-(now - this.demandAt) / demandWindowMs);
    this.requestRate = this.requestRate * decay + 1000 / demandWindowMs;
    this.tokenRate = this.tokenRate * decay + (tokens * 1000) / demandWindowMs;
    this.demandAt = now;
  }

  /** What to ask for: one request, and what is expected soon on top. */
  want(tokens: number): LimitAmounts {
    const ahead = aheadMs / 1000;
    return {
      permits: 1,
      requests: 1 + Math.floor(this.requestRate * ahead),
      tokens: tokens + Math.floor(this.tokenRate * ahead),
    };
  }

  /** Adds what the keeper gave. */
  add(amounts: LimitAmounts): void {
    this.permits += amounts.permits;
    this.requests += amounts.requests;
    this.tokens += amounts.tokens;
  }

  /** Uses the share for one request; false where it is too small. */
  use(tokens: number, now: Millis): boolean {
    if (this.inUse >= this.permits || this.requests < 1 || this.tokens < tokens) {
      return false;
    }
    this.start(tokens, now);
    return true;
  }

  /** Admits one request beyond what was given; the keeper learns of it later. */
  overdraw(tokens: number, now: Millis): void {
    this.permits = Math.max(this.permits, this.inUse + 1);
    this.start(tokens, now);
  }

  /** Ends one request that was admitted for `expected` tokens and used `used`. */
  finish(expected: number, used: number): void {
    this.inUse -= 1;
    this.tokens += expected - used;
  }

  /** What is missing for one request of `tokens`. */
  missing(tokens: number): LimitAmounts {
    return {
      permits: this.inUse < this.permits ? 0 : 1,
      requests: this.requests < 1 ? 1 : 0,
      tokens: Math.max(0, tokens - this.tokens),
    };
  }

  /** Takes out what is not in use, to give it back. A debt is taken out too. */
  takeSpare(): LimitAmounts {
    const spare = {
      permits: this.permits - this.inUse,
      requests: this.requests,
      tokens: this.tokens,
    };
    this.permits = this.inUse;
    this.requests = 0;
    this.tokens = 0;
    return spare;
  }

  private start(tokens: number, now: Millis): void {
    this.inUse += 1;
    this.requests -= 1;
    this.tokens -= tokens;
    this.usedAt = now;
  }
}

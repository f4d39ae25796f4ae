/** The part of the quota of one account and tier that the owner has granted to this node. */

import type { Millis } from '@tanagercart/base';
import type { LimitAmounts } from '@tanagercart/protocol';

/**
 * A node asks for as much as it would use in this time at its recent demand, so that a rarely used
 * account costs one exchange with the owner per request, and a busy one ten exchanges a second.
 */
export const lookaheadMs: Millis = 100;

/** Time constant of the moving averages of demand. */
const demandWindowMs: Millis = 250;

export const noAmounts: LimitAmounts = { permits: 0, requests: 0, tokens: 0 };

/** Permits, requests and tokens that this node may use without asking the owner. */
export class Allocation {
  private permits = 0;
  private requests = 0;
  /** Negative if requests used more tokens than expected. */
  private tokens = 0;
  /** Permits in use by requests in progress. */
  private inUse = 0;
  /** Whether the owner has few permits left, so that idle ones should be returned at once. */
  scarce = false;
  /** Requests and tokens per second that callers ask for, as exponential moving averages. */
  private requestRate = 0;
  private tokenRate = 0;
  private demandAt: Millis;
  private usedAt: Millis;

  private constructor(now: Millis) {
    this.demandAt = now;
    this.usedAt = now;
  }

  static create(now: Millis): Allocation {
    return new Allocation(now);
  }

  /** Permits that the node holds, in use or not. */
  get held(): number {
    return this.permits;
  }

  /** Requests in progress. */
  get running(): number {
    return this.inUse;
  }

  /** Whether there are unused amounts to return to the owner, or negative tokens to report. */
  get hasUnused(): boolean {
    return this.permits > this.inUse || this.requests > 0 || this.tokens !== 0;
  }

  /** When a request was last admitted. */
  get lastUsedAt(): Millis {
    return this.usedAt;
  }

  /** Records the arrival of a request of `tokens` tokens, whether or not it is admitted. */
  recordDemand(tokens: number, now: Millis): void {
    const decay = Math.exp(-(now - this.demandAt) / demandWindowMs);
    this.requestRate = this.requestRate * decay + 1000 / demandWindowMs;
    this.tokenRate = this.tokenRate * decay + (tokens * 1000) / demandWindowMs;
    this.demandAt = now;
  }

  /** What to ask the owner for: one request of `tokens`, and the demand expected after it. */
  desiredAmounts(tokens: number): LimitAmounts {
    const lookahead = lookaheadMs / 1000;
    return {
      permits: 1,
      requests: 1 + Math.floor(this.requestRate * lookahead),
      tokens: tokens + Math.floor(this.tokenRate * lookahead),
    };
  }

  /** Adds amounts that the owner granted, or that could not be returned to it. */
  add(amounts: LimitAmounts): void {
    this.permits += amounts.permits;
    this.requests += amounts.requests;
    this.tokens += amounts.tokens;
  }

  /** Starts a request if the allocation suffices for it; returns whether it does. */
  tryStart(tokens: number, now: Millis): boolean {
    if (this.inUse >= this.permits || this.requests < 1 || this.tokens < tokens) {
      return false;
    }
    this.start(tokens, now);
    return true;
  }

  /** Starts a request beyond the allocation; the owner is told with the next exchange. */
  overdraw(tokens: number, now: Millis): void {
    this.permits = Math.max(this.permits, this.inUse + 1);
    this.start(tokens, now);
  }

  /** Ends a request that was started with `expected` tokens and used `used`. */
  finish(expected: number, used: number): void {
    this.inUse -= 1;
    this.tokens += expected - used;
  }

  /** What the allocation lacks for one request of `tokens`. */
  missingAmounts(tokens: number): LimitAmounts {
    return {
      permits: this.inUse < this.permits ? 0 : 1,
      requests: this.requests < 1 ? 1 : 0,
      tokens: Math.max(0, tokens - this.tokens),
    };
  }

  /** Removes what is not in use, to return it to the owner. The tokens may be negative. */
  takeUnused(): LimitAmounts {
    const unused = {
      permits: this.permits - this.inUse,
      requests: this.requests,
      tokens: this.tokens,
    };
    this.permits = this.inUse;
    this.requests = 0;
    this.tokens = 0;
    return unused;
  }

  private start(tokens: number, now: Millis): void {
    this.inUse += 1;
    this.requests -= 1;
    this.tokens -= tokens;
    this.usedAt = now;
  }
}

/** What the keeper knows of one account and tier. */

import type { Millis, NodeId } from '@tanagercart/base';
import { invariant } from '@tanagercart/base';
import type { LimitAmounts, LimitCall, LimitReply } from '@tanagercart/protocol';
import { Bucket } from './bucket.js';
import { burstSeconds } from './contract.js';
import type { Quota } from './contract.js';

/** Longest wait that a refused caller is told, in milliseconds. */
const longestWaitMs = 60_000;

/** Wait told to a caller that finds all permits in use, in milliseconds. */
const permitWaitMs = 250;

/** Share of the permits in use from which they count as scarce. */
const scarceShare = 0.75;

/** Counts what the nodes hold of one account's limits. */
export class Ledger {
  private requests: Bucket;
  private tokens: Bucket;
  private readonly permits = new Map<NodeId, number>();

  private constructor(
    private contract: Quota,
    now: Millis,
    filled: boolean,
  ) {
    const share = filled ? burstSeconds : 0;
    this.requests = bucketOf(contract.requestsPerSecond, share, now);
    this.tokens = bucketOf(contract.tokensPerSecond, share, now);
  }

  /** A ledger whose buckets are full, or empty where another keeper may have given out their content. */
  static create(contract: Quota, now: Millis, filled: boolean): Ledger {
    return new Ledger(contract, now, filled);
  }

  /** Permits that all nodes hold. */
  get held(): number {
    let sum = 0;
    for (const n of this.permits.values()) {
      sum += n;
    }
    return sum;
  }

  /** Whether nothing is held and nothing is owed, so that the ledger may be forgotten. */
  isIdle(now: Millis): boolean {
    const full = (b: Bucket) => b.levelAt(now) >= b.size;
    return this.held === 0 && full(this.requests) && full(this.tokens);
  }

  /** Takes over limits that a release note changed. */
  amend(contract: Quota, now: Millis): void {
    if (sameContract(contract, this.contract)) {
      return;
    }
    this.contract = contract;
    const { requestsPerSecond, tokensPerSecond } = contract;
    this.requests = this.requests.resize(requestsPerSecond, sizeOf(requestsPerSecond), now);
    this.tokens = this.tokens.resize(tokensPerSecond, sizeOf(tokensPerSecond), now);
  }

  /** Records the permits that `node` holds. */
  report(node: NodeId, held: number): void {
    if (held > 0) {
      this.permits.set(node, held);
    } else {
      this.permits.delete(node);
    }
  }

  /** Forgets what nodes hold that are gone. */
  keepOnly(isLive: (node: NodeId) => boolean): void {
    for (const node of [...this.permits.keys()]) {
      if (!isLive(node)) {
        this.permits.delete(node);
      }
    }
  }

  /** Takes back what a node returns. */
  takeBack(back: LimitAmounts, now: Millis): void {
    this.requests = this.requests.take(-back.requests, now);
    this.tokens = this.tokens.take(-back.tokens, now);
  }

  /** Answers `node`, which asks for a part. */
  give(node: NodeId, call: LimitCall, now: Millis): LimitReply {
    const { least, want } = call;
    const free = this.contract.concurrency - this.held;
    if (free < least.permits) {
      return exhausted('concurrency', permitWaitMs);
    }
    // A single request may be larger than the bucket: a full bucket is enough, and goes into debt.
    const enough = Math.min(least.tokens, this.tokens.size);
    if (this.requests.levelAt(now) < least.requests) {
      return exhausted('requests', this.requests.waitMs(least.requests, now));
    }
    if (this.tokens.levelAt(now) < enough) {
      return exhausted('tokens', this.tokens.waitMs(enough, now));
    }
    const amounts: LimitAmounts = {
      permits: Math.min(free, want.permits),
      requests: between(least.requests, Math.floor(this.requests.levelAt(now)), want.requests),
      tokens: between(least.tokens, Math.floor(this.tokens.levelAt(now)), want.tokens),
    };
    this.requests = this.requests.take(amounts.requests, now);
    this.tokens = this.tokens.take(amounts.tokens, now);
    this.report(node, (this.permits.get(node) ?? 0) + amounts.permits);
    invariant(this.held <= this.contract.concurrency, 'permits never exceed the concurrency limit');
    const scarce = this.held >= this.contract.concurrency * scarceShare;
    return { kind: 'given', amounts, scarce };
  }
}

function bucketOf(rate: number, seconds: number, now: Millis): Bucket {
  return Bucket.create(rate, sizeOf(rate), Math.max(0, rate * seconds), now);
}

/** A bucket holds at least one unit, so that a slow rate admits something. */
function sizeOf(rate: number): number {
  return Math.max(1, rate * burstSeconds);
}

function between(least: number, level: number, want: number): number {
  return Math.max(least, Math.min(level, want));
}

function exhausted(limit: 'concurrency' | 'requests' | 'tokens', ms: Millis): LimitReply {
  return { kind: 'exhausted', limit, retryAfterMs: Math.min(longestWaitMs, Math.ceil(ms)) };
}

function sameContract(a: Quota, b: Quota): boolean {
  return (
    a.concurrency === b.concurrency &&
    a.requestsPerSecond === b.requestsPerSecond &&
    a.tokensPerSecond === b.tokensPerSecond
  );
}

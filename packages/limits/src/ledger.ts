/** The owner's record of the quota of one account and tier, and of what nodes hold of it. */

import type { Millis, NodeId } from '@tanagercart/base';
import { invariant } from '@tanagercart/base';
import type { LimitAmounts, LimitCall, LimitReply } from '@tanagercart/protocol';
import { Bucket } from './bucket.js';
import { burstSeconds } from './quota.js';
import type { Quota } from './quota.js';

/** Bounds the retry delay that a refused caller is given. */
const maxRetryAfterMs = 60_000;

/** Retry delay for a caller that is refused because all permits are in use. */
const permitRetryAfterMs = 250;

/** Permits count as scarce from this share of them on, so that nodes return idle ones at once. */
const scarceShare = 0.75;

/** Grants quota to nodes, and records the permits that they hold. */
export class Ledger {
  private requests: Bucket;
  private tokens: Bucket;
  private readonly permits = new Map<NodeId, number>();

  private constructor(
    private quota: Quota,
    now: Millis,
    full: boolean,
  ) {
    const seconds = full ? burstSeconds : 0;
    this.requests = createBucket(quota.requestsPerSecond, seconds, now);
    this.tokens = createBucket(quota.tokensPerSecond, seconds, now);
  }

  /**
   * A ledger without permits in use. Its buckets start full, or empty where a previous owner may
   * have granted their content.
   */
  static create(quota: Quota, now: Millis, full: boolean): Ledger {
    return new Ledger(quota, now, full);
  }

  /** Permits that all nodes hold together. */
  get held(): number {
    let sum = 0;
    for (const n of this.permits.values()) {
      sum += n;
    }
    return sum;
  }

  /** Whether no permits are held and both buckets are full, so that the ledger can be dropped. */
  isIdle(now: Millis): boolean {
    const isFull = (b: Bucket) => b.levelAt(now) >= b.size;
    return this.held === 0 && isFull(this.requests) && isFull(this.tokens);
  }

  /** Applies the quota in force, which a release note may have changed. */
  updateQuota(quota: Quota, now: Millis): void {
    if (isSameQuota(quota, this.quota)) {
      return;
    }
    this.quota = quota;
    const { requestsPerSecond, tokensPerSecond } = quota;
    this.requests = this.requests.resize(requestsPerSecond, bucketSize(requestsPerSecond), now);
    this.tokens = this.tokens.resize(tokensPerSecond, bucketSize(tokensPerSecond), now);
  }

  /** Records the permits that `node` holds. */
  recordHeld(node: NodeId, held: number): void {
    if (held > 0) {
      this.permits.set(node, held);
    } else {
      this.permits.delete(node);
    }
  }

  /** Releases the permits of nodes that are no longer live. */
  releaseDead(isLive: (node: NodeId) => boolean): void {
    for (const node of [...this.permits.keys()]) {
      if (!isLive(node)) {
        this.permits.delete(node);
      }
    }
  }

  /** Puts the requests and tokens that a node returns back into the buckets. */
  refund(returned: LimitAmounts, now: Millis): void {
    this.requests = this.requests.take(-returned.requests, now);
    this.tokens = this.tokens.take(-returned.tokens, now);
  }

  /** Grants `node` at least what it needs and at most what it wants, or refuses. */
  grant(node: NodeId, call: LimitCall, now: Millis): LimitReply {
    const { least, want } = call;
    const free = this.quota.concurrency - this.held;
    if (free < least.permits) {
      return exhausted('concurrency', permitRetryAfterMs);
    }
    // One request may need more tokens than the bucket can hold. A full bucket is then enough, and
    // its level becomes negative.
    const neededTokens = Math.min(least.tokens, this.tokens.size);
    if (this.requests.levelAt(now) < least.requests) {
      return exhausted('requests', this.requests.waitMs(least.requests, now));
    }
    if (this.tokens.levelAt(now) < neededTokens) {
      return exhausted('tokens', this.tokens.waitMs(neededTokens, now));
    }
    const amounts: LimitAmounts = {
      permits: Math.min(free, want.permits),
      requests: clamp(least.requests, Math.floor(this.requests.levelAt(now)), want.requests),
      tokens: clamp(least.tokens, Math.floor(this.tokens.levelAt(now)), want.tokens),
    };
    this.requests = this.requests.take(amounts.requests, now);
    this.tokens = this.tokens.take(amounts.tokens, now);
    this.recordHeld(node, (this.permits.get(node) ?? 0) + amounts.permits);
    invariant(this.held <= this.quota.concurrency, 'permits never exceed the concurrency limit');
    const scarce = this.held >= this.quota.concurrency * scarceShare;
    return { kind: 'given', amounts, scarce };
  }
}

function createBucket(rate: number, seconds: number, now: Millis): Bucket {
  return Bucket.create(rate, bucketSize(rate), Math.max(0, rate * seconds), now);
}

/** A bucket can hold at least one unit; a rate below one per second would never admit otherwise. */
function bucketSize(rate: number): number {
  return Math.max(1, rate * burstSeconds);
}

/** What to grant: the available amount up to `want`, but at least `least`. */
function clamp(least: number, available: number, want: number): number {
  return Math.max(least, Math.min(available, want));
}

function exhausted(limit: 'concurrency' | 'requests' | 'tokens', ms: Millis): LimitReply {
  return { kind: 'exhausted', limit, retryAfterMs: Math.min(maxRetryAfterMs, Math.ceil(ms)) };
}

function isSameQuota(a: Quota, b: Quota): boolean {
  return (
    a.concurrency === b.concurrency &&
    a.requestsPerSecond === b.requestsPerSecond &&
    a.tokensPerSecond === b.tokensPerSecond
  );
}

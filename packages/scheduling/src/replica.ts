/** The load of one replica: its unreleased grants and its recent failures. */

import { invariant } from '@tanagercart/base';
import type { GrantId, Millis, NodeId, ReplicaId } from '@tanagercart/base';
import type { AcquireCall, Grant } from '@tanagercart/protocol';
import { BatchLatency } from './batch.js';
import { PrefixCacheEstimate } from './prefixes.js';

/**
 * A grant that has not been released. The owner counts it against the slots of its replica, even if
 * its entry does not know it.
 */
export interface HeldGrant {
  readonly grant: Grant;
  /** Identifies the attempt: id of the request and number of the attempt. */
  readonly attemptKey: string;
  readonly entry: NodeId;
  readonly call: AcquireCall;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Longest inter-token latency that the tier allows. */
  readonly tokenGapMs: Millis;
  readonly grantedAt: Millis;
  /** When the grant was last sent to its entry. */
  lastSentAt: Millis;
  /** Tokens that the request is expected to generate. */
  readonly expectedTokens: number;
  /** Sequences that ran on the replica at the time of the grant, including this one. */
  readonly runningAtGrant: number;
  /** Prompt tokens to prefill at the time of the grant, including those of this request. */
  readonly prefillTokensAtGrant: number;
  /** Predicted end of the prefill. */
  readonly prefillEndsAt: Millis;
  /** Whether the owner has asked the entry to release the grant. */
  isBeingPreempted: boolean;
  /** The grant is not preempted before this time, because its entry did not answer a preemption. */
  preemptRetryAt: Millis;
  /** Incarnation of the entry at the time of the grant; undefined if it was unknown. */
  readonly incarnation: string | undefined;
}

/**
 * Load of one replica. Failed attempts open a circuit breaker: during a backoff the replica gets
 * only requests that no other replica can serve; afterwards it gets one probe at a time until an
 * attempt completes.
 */
export class ReplicaLoad {
  /** Prompt prefixes that the replica has probably cached. */
  readonly prefixCache = PrefixCacheEstimate.create();
  private readonly grantById = new Map<GrantId, HeldGrant>();

  private consecutiveFailures = 0;
  private backoffUntil: Millis = -Infinity;

  private constructor(
    readonly id: ReplicaId,
    readonly latency: BatchLatency,
  ) {}

  static create(id: ReplicaId, slots: number, tokensPerSecond: number): ReplicaLoad {
    return new ReplicaLoad(id, BatchLatency.create(slots, tokensPerSecond));
  }

  get heldGrants(): Iterable<HeldGrant> {
    return this.grantById.values();
  }

  get running(): number {
    return this.grantById.size;
  }

  get freeSlots(): number {
    return this.latency.slots - this.grantById.size;
  }

  /** Free slots, including those of grants that are being preempted. */
  get freeSlotsAfterPreemption(): number {
    let { freeSlots: slots } = this;
    for (const g of this.grantById.values()) if (g.isBeingPreempted) slots += 1;
    return slots;
  }

  add(held: HeldGrant): void {
    this.grantById.set(held.grant.id, held);
    invariant(
      this.grantById.size <= this.latency.slots,
      'more grants on a replica than it has slots',
    );
  }

  remove(id: GrantId): HeldGrant | undefined {
    const held = this.grantById.get(id);
    this.grantById.delete(id);
    return held;
  }

  /**
   * Whether the circuit breaker is open: the replica is in its backoff, or a probe that was granted
   * after the backoff is still running.
   */
  isCircuitOpen(now: Millis): boolean {
    if (now < this.backoffUntil) return true;
    return this.consecutiveFailures > 0 && this.hasGrantSince(this.backoffUntil);
  }

  /**
   * Records a failed attempt and starts a backoff, which doubles with each consecutive failure.
   * Failures during a backoff do not extend it.
   */
  recordFailure(now: Millis): void {
    if (now < this.backoffUntil) return;
    this.backoffUntil = now + Math.min(maxBackoffMs, minBackoffMs * 2 ** this.consecutiveFailures);
    this.consecutiveFailures += 1;
  }

  private hasGrantSince(time: Millis): boolean {
    for (const g of this.grantById.values()) if (g.grantedAt >= time) return true;
    return false;
  }

  /** Records a complete attempt. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
  }

  /** Prompt tokens of the unreleased grants that are predicted to be not yet prefilled at `now`. */
  pendingPrefillTokens(now: Millis): number {
    let tokens = 0;
    for (const g of this.grantById.values()) {
      if (g.prefillEndsAt > now) {
        tokens +=
          (g.call.promptTokens * (g.prefillEndsAt - now)) /
          Math.max(1, g.prefillEndsAt - g.grantedAt);
      }
    }
    return tokens;
  }

  /** Lowest limit on the inter-token latency among the running sequences; infinite if none runs. */
  get minTokenGapMs(): Millis {
    let minMs = Infinity;
    for (const g of this.grantById.values()) minMs = Math.min(minMs, g.tokenGapMs);
    return minMs;
  }

  /**
   * Whether a request has probably generated more than `overrunFactor` times the expected tokens,
   * estimated from its run time and including the tokens of earlier attempts.
   */
  hasOverrun(g: HeldGrant, now: Millis): boolean {
    const stepMs = this.latency.stepMs(this.running);
    const earlierTokens = g.call.passedTokens ?? 0;
    return earlierTokens + (now - g.prefillEndsAt) / stepMs > g.expectedTokens * overrunFactor;
  }
}

/** Backoff after the first failed attempt, in milliseconds. */
const minBackoffMs: Millis = 250;

/** Upper bound of the backoff, in milliseconds. */
const maxBackoffMs: Millis = 4000;

/**
 * A request overruns its estimate when it generates more than this many times the expected tokens.
 */
export const overrunFactor = 2;

/** The load of one replica: its grants, counted exactly, and its recent failures. */

import { invariant } from '@tanagercart/base';
import type { GrantId, Millis, NodeId, ReplicaId } from '@tanagercart/base';
import type { AcquireCall, Grant } from '@tanagercart/protocol';
import { BatchLatency } from './batch.js';
import { PrefixCacheEstimate } from './prefixes.js';

/** A grant that was not released yet. */
export interface HeldGrant {
  readonly grant: Grant;
  /** Identifies the attempt: id of the request and number of the attempt. */
  readonly key: string;
  readonly entry: NodeId;
  readonly call: AcquireCall;
  readonly urgency: number;
  /** Time between two tokens that the tier promises. */
  readonly tokenGapMs: Millis;
  readonly grantedAt: Millis;
  /** When the grant was last sent to its entry. */
  lastSentAt: Millis;
  /** Tokens that the request is expected to generate. */
  readonly expectedTokens: number;
  /** Sequences that ran on the replica at the start, including this one. */
  readonly runningAtStart: number;
  /** Prompt tokens to prefill at the start, including those of this request. */
  readonly prefillTokensAtStart: number;
  /** Predicted end of the prefill. */
  readonly prefillEndsAt: Millis;
  /** Whether the owner has asked the entry to release the grant. */
  isPreempting: boolean;
  /** The grant is not preempted before this time, as its entry could not be reached. */
  notPreemptedUntil: Millis;
  /** Incarnation of the entry at the time of the grant; undefined where it was unknown. */
  readonly incarnation: string | undefined;
}

/**
 * Load of one replica. Failed attempts open a circuit breaker: the replica gets no requests that
 * another can serve during a backoff, and then one probe at a time until an attempt completes.
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
    for (const g of this.grantById.values()) if (g.isPreempting) slots += 1;
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

  /** Whether the replica is in its backoff, or a probe after the backoff is still running. */
  isBackingOff(now: Millis): boolean {
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

  /** Predicted prompt tokens of the held grants that are not prefilled yet at `now`. */
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

  /** Shortest token gap that is promised to a running sequence; infinite where none runs. */
  get minTokenGapMs(): Millis {
    let minMs = Infinity;
    for (const g of this.grantById.values()) minMs = Math.min(minMs, g.tokenGapMs);
    return minMs;
  }

  /** Whether a request has, judging by its run time, generated far more tokens than expected. */
  hasOverrun(g: HeldGrant, now: Millis): boolean {
    const stepMs = this.latency.stepMs(this.running);
    const earlierTokens = g.call.passedTokens ?? 0;
    return earlierTokens + (now - g.prefillEndsAt) / stepMs > g.expectedTokens * overrunFactor;
  }
}

/** Backoff after the first failed attempt, in milliseconds. */
const minBackoffMs: Millis = 250;

const maxBackoffMs: Millis = 4000;

/** A request overruns its estimate when it exceeds the expected tokens by this factor. */
export const overrunFactor = 2;

/** The grants on one replica, counted exactly. */

import { invariant } from '@tanagercart/base';
import type { GrantId, Millis, NodeId, ReplicaId } from '@tanagercart/base';
import type { AcquireCall, Grant } from '@tanagercart/protocol';
import { BatchLatency } from './batch.js';
import { PrefixCacheEstimate } from './prefixes.js';

/** A grant that was given and not yet released. */
export interface HeldGrant {
  readonly grant: Grant;
  readonly key: string;
  readonly entry: NodeId;
  readonly call: AcquireCall;
  readonly urgency: number;
  readonly tokenGapMs: Millis;
  readonly grantedAt: Millis;
  /** When its entry was last told of it. */
  lastSentAt: Millis;
  /** Tokens that it is expected to generate. */
  readonly expectedTokens: number;
  /** Sequences that ran when it began, itself included. */
  readonly runningAtStart: number;
  readonly prefillTokensAtStart: number;
  /** When its prompt will have been read, as predicted. */
  readonly prefillEndsAt: Millis;
  /** Whether its entry was asked to give it back. */
  isPreempting: boolean;
  /** Until when it is not asked for again, after its entry could not be reached. */
  notPreemptedUntil: Millis;
  /** Incarnation of the entry when the grant was given. */
  readonly incarnation: string | undefined;
}

/** Load and step model of one replica. */
export class ReplicaLoad {
  /** What its cache likely holds. */
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

  /** Slots that will be free once the preemptions under way have ended. */
  get freeSlotsAfterPreemption(): number {
    let { freeSlots: free } = this;
    for (const g of this.grantById.values()) if (g.isPreempting) free += 1;
    return free;
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

  /** Whether it failed lately and is given no work for a while, and then one grant at a time. */
  isBackingOff(now: Millis): boolean {
    if (now < this.backoffUntil) return true;
    return this.consecutiveFailures > 0 && this.hasGrantSince(this.backoffUntil);
  }

  /** Notes a failed attempt; each one in a row doubles the rest. */
  recordFailure(now: Millis): void {
    if (now < this.backoffUntil) return;
    this.backoffUntil = now + Math.min(maxBackoffMs, minBackoffMs * 2 ** this.consecutiveFailures);
    this.consecutiveFailures += 1;
  }

  private hasGrantSince(time: Millis): boolean {
    for (const g of this.grantById.values()) if (g.grantedAt >= time) return true;
    return false;
  }

  /** Notes an attempt that ran to its end. */
  recordSuccess(): void {
    this.consecutiveFailures = 0;
  }

  /** Prompt tokens that are likely still unread at `now`. */
  pendingPrefillTokens(now: Millis): number {
    let sum = 0;
    for (const g of this.grantById.values()) {
      if (g.prefillEndsAt > now) {
        sum +=
          (g.call.promptTokens * (g.prefillEndsAt - now)) /
          Math.max(1, g.prefillEndsAt - g.grantedAt);
      }
    }
    return sum;
  }

  /** The smallest gap between tokens that was promised to a sequence that runs. */
  get minTokenGapMs(): Millis {
    let gap = Infinity;
    for (const g of this.grantById.values()) gap = Math.min(gap, g.tokenGapMs);
    return gap;
  }

  /** Whether a grant has run for longer than its estimate foretold. */
  hasOverrun(g: HeldGrant, now: Millis): boolean {
    const stepMs = this.latency.stepMs(this.running);
    const passed = g.call.passedTokens ?? 0;
    return passed + (now - g.prefillEndsAt) / stepMs > g.expectedTokens * overrunFactor;
  }
}

/** Rest of a replica after its first failed attempt, in milliseconds. */
const minBackoffMs: Millis = 250;

/** Longest rest of a replica, in milliseconds. */
const maxBackoffMs: Millis = 4000;

/** Multiple of its estimated time after which a grant counts as long. */
export const overrunFactor = 2;

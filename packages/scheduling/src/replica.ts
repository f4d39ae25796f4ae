/** The grants on one replica, counted exactly. */

import { invariant } from '@tanagercart/base';
import type { GrantId, Millis, NodeId, ReplicaId } from '@tanagercart/base';
import type { AcquireCall, Grant } from '@tanagercart/protocol';
import { BatchModel } from './batch.js';

/** A grant that was given and not yet released. */
export interface HeldGrant {
  readonly grant: Grant;
  readonly key: string;
  readonly entry: NodeId;
  readonly call: AcquireCall;
  readonly urgency: number;
  readonly gapMs: Millis;
  readonly givenAt: Millis;
  /** Tokens that it is expected to generate. */
  readonly estimate: number;
  /** Sequences that ran when it began, itself included. */
  readonly runningAtStart: number;
  readonly prefillAtStart: number;
  /** When its prompt will have been read, as predicted. */
  readonly readAt: Millis;
  /** Whether its entry was asked to give it back. */
  preempting: boolean;
  /** Until when it is not asked for again, after its entry could not be reached. */
  sparedUntil: Millis;
  /** Incarnation of the entry when the grant was given. */
  readonly incarnation: string | undefined;
}

/** Load and step model of one replica. */
export class ReplicaLoad {
  private readonly grants = new Map<GrantId, HeldGrant>();

  private failures = 0;
  private restsUntil: Millis = -Infinity;

  private constructor(
    readonly id: ReplicaId,
    readonly model: BatchModel,
  ) {}

  static create(id: ReplicaId, slots: number, tokensPerSecond: number): ReplicaLoad {
    return new ReplicaLoad(id, BatchModel.create(slots, tokensPerSecond));
  }

  get held(): Iterable<HeldGrant> {
    return this.grants.values();
  }

  get running(): number {
    return this.grants.size;
  }

  get free(): number {
    return this.model.slots - this.grants.size;
  }

  /** Slots that will be free once the preemptions under way have ended. */
  get soonFree(): number {
    let { free } = this;
    for (const g of this.grants.values()) if (g.preempting) free += 1;
    return free;
  }

  add(held: HeldGrant): void {
    this.grants.set(held.grant.id, held);
    invariant(this.grants.size <= this.model.slots, 'more grants on a replica than it has slots');
  }

  remove(id: GrantId): HeldGrant | undefined {
    const held = this.grants.get(id);
    this.grants.delete(id);
    return held;
  }

  /** Whether it failed lately and is given no work for a while, and then one grant at a time. */
  rests(now: Millis): boolean {
    if (now < this.restsUntil) return true;
    return this.failures > 0 && this.grantedSince(this.restsUntil);
  }

  /** Notes a failed attempt; each one in a row doubles the rest. */
  failed(now: Millis): void {
    if (now < this.restsUntil) return;
    this.restsUntil = now + Math.min(restLimitMs, firstRestMs * 2 ** this.failures);
    this.failures += 1;
  }

  private grantedSince(time: Millis): boolean {
    for (const g of this.grants.values()) if (g.givenAt >= time) return true;
    return false;
  }

  /** Notes an attempt that ran to its end. */
  succeeded(): void {
    this.failures = 0;
  }

  /** Prompt tokens that are likely still unread at `now`. */
  unreadTokens(now: Millis): number {
    let sum = 0;
    for (const g of this.grants.values()) {
      if (g.readAt > now) {
        sum += (g.call.promptTokens * (g.readAt - now)) / Math.max(1, g.readAt - g.givenAt);
      }
    }
    return sum;
  }

  /** The smallest gap between tokens that was promised to a sequence that runs. */
  get tightestGapMs(): Millis {
    let gap = Infinity;
    for (const g of this.grants.values()) gap = Math.min(gap, g.gapMs);
    return gap;
  }

  /** Whether a grant has run for longer than its estimate foretold. */
  outlived(g: HeldGrant, now: Millis): boolean {
    const stepMs = this.model.stepMs(this.running);
    const passed = g.call.passedTokens ?? 0;
    return passed + (now - g.readAt) / stepMs > g.estimate * outlivedFactor;
  }
}

/** Rest of a replica after its first failed attempt, in milliseconds. */
const firstRestMs: Millis = 250;

/** Longest rest of a replica, in milliseconds. */
const restLimitMs: Millis = 4000;

/** Multiple of its estimated time after which a grant counts as long. */
export const outlivedFactor = 2;

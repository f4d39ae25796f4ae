/** Limits without their keeper: a node goes on at the pace that it was given lately. */

import type { Millis } from '@tanagercart/base';
import { Bucket } from './bucket.js';
import type { Quota } from './contract.js';

/** Time over which the pace is averaged, in milliseconds. */
const paceWindowMs: Millis = 1000;

/** What a node may admit without any pace. */
export interface LeastPace {
  readonly running: number;
  readonly perSecond: number;
}

/** While the keeper is away, an idle account is not shut out. */
export const awayPace: LeastPace = { running: 1, perSecond: 1 };

/** While the keeper recovers, an idle account waits for it. */
export const recoveringPace: LeastPace = { running: 0, perSecond: Number.EPSILON };

/** The pace at which a node was admitted lately, and a bucket that keeps to it. */
export class Fallback {
  private requestPace = 0;
  private pacedAt: Millis;
  private peak = 0;
  private bucket: Bucket | undefined;

  private constructor(now: Millis) {
    this.pacedAt = now;
  }

  static create(now: Millis): Fallback {
    return new Fallback(now);
  }

  /** Notes a request that the keeper's share admitted, with how many now run. */
  admitted(running: number, now: Millis): void {
    this.requestPace = this.paceAt(now) + 1000 / paceWindowMs;
    this.peak = Math.max(running, Math.floor(this.peak * this.decayAt(now)));
    this.pacedAt = now;
    this.bucket = undefined;
  }

  /** Whether one more request may run while the keeper is away. */
  mayAdmit(running: number, contract: Quota, now: Millis, least: LeastPace): boolean {
    if (running >= Math.min(Math.max(this.peak, least.running), contract.concurrency)) {
      return false;
    }
    const pace = Math.max(this.paceAt(now), least.perSecond);
    const rate = Math.min(pace, contract.requestsPerSecond);
    this.bucket ??= Bucket.create(rate, 1, 1, now);
    if (this.bucket.levelAt(now) < 1) {
      return false;
    }
    this.bucket = this.bucket.take(1, now);
    return true;
  }

  private paceAt(now: Millis): number {
    return this.requestPace * this.decayAt(now);
  }

  private decayAt(now: Millis): number {
    return Math.exp(-(now - this.pacedAt) / paceWindowMs);
  }
}

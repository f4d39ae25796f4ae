/**
 * Admission control while the owner of an account cannot grant quota. Used when the owner is
 * unreachable or has just taken over the account: a node continues at the rate and concurrency at
 * which it admitted requests before, so that the limits neither block the account nor are lifted.
 */

import type { Millis } from '@tanagercart/base';
import { Bucket } from './bucket.js';
import type { Quota } from './quota.js';

/** Time constant of the moving averages of rate and concurrency. */
const rateWindowMs: Millis = 1000;

/** What a node may admit for an account even if it has admitted nothing for it recently. */
export interface RateFloor {
  readonly running: number;
  readonly perSecond: number;
}

/** Used while the owner is unreachable: an idle account must not be locked out. */
export const unreachableFloor: RateFloor = { running: 1, perSecond: 1 };

/** Used while a new owner recovers: that takes a short time, so an idle account waits for it. */
export const recoveringFloor: RateFloor = { running: 0, perSecond: Number.EPSILON };

/** The rate at which a node admitted requests of one account recently, and a bucket to hold it. */
export class Fallback {
  /** Requests per second at `updatedAt`, as an exponential moving average. */
  private requestRate = 0;
  private updatedAt: Millis;
  /** The most requests in progress recently; it decays with the time between admissions. */
  private peakRunning = 0;
  /** Holds admissions without the owner to the rate; reset once the owner grants quota again. */
  private bucket: Bucket | undefined;

  private constructor(now: Millis) {
    this.updatedAt = now;
  }

  static create(now: Millis): Fallback {
    return new Fallback(now);
  }

  /** Records that quota of the owner admitted a request; `running` requests are now in progress. */
  recordAdmission(running: number, now: Millis): void {
    this.requestRate = this.rateAt(now) + 1000 / rateWindowMs;
    this.peakRunning = Math.max(running, Math.floor(this.peakRunning * this.decayAt(now)));
    this.updatedAt = now;
    this.bucket = undefined;
  }

  /** Whether one more request may run without the owner; if so, it counts towards the rate. */
  tryAdmit(running: number, quota: Quota, now: Millis, floor: RateFloor): boolean {
    if (running >= Math.min(Math.max(this.peakRunning, floor.running), quota.concurrency)) {
      return false;
    }
    const recentRate = Math.max(this.rateAt(now), floor.perSecond);
    const rate = Math.min(recentRate, quota.requestsPerSecond);
    this.bucket ??= Bucket.create(rate, 1, 1, now);
    if (this.bucket.levelAt(now) < 1) {
      return false;
    }
    this.bucket = this.bucket.take(1, now);
    return true;
  }

  private rateAt(now: Millis): number {
    return this.requestRate * this.decayAt(now);
  }

  /** The factor by which averages have decayed since they were last updated. */
  private decayAt(now: Millis): number {
    return Math.exp(-(now - this.updatedAt) / rateWindowMs);
  }
}

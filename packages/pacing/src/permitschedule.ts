/**
 * Spaces the requests to one upstream that has named a limit. Answers the load of more requests than
 * the upstream accepts: each permit is due at a time of its own, and a request that would wait for
 * too long is refused at once, so that it can go elsewhere.
 */

import type { Millis } from '@tanagercart/base';
import { Bucket } from '@tanagercart/limits';

/** Permits that may be saved up while nobody needs them: a number, and a time at the rate. */
const burst = 2;
const burstMs: Millis = 125;

/**
 * Rate at which permits are given though the upstream names a lower one, as only the response to a
 * request tells that the limit has ended.
 */
const minPerSecond = 0.25;

/** When a request may be sent; `waitMs` is the time until its permit is due, or until one is free. */
export interface Reservation {
  readonly kind: 'granted' | 'refused';
  readonly waitMs: Millis;
}

/** The permits of one upstream. */
export class PermitSchedule {
  private constructor(private bucket: Bucket) {}

  /** A schedule without permits at `now`, as others may have been given elsewhere just before. */
  static create(rate: number, now: Millis): PermitSchedule {
    return new PermitSchedule(Bucket.create(rate, sizeOf(rate), 0, now));
  }

  /** Takes the next permit at `rate` per second, if it is due within `maxWaitMs`. */
  reserve(rate: number, maxWaitMs: Millis, now: Millis): Reservation {
    if (rate !== this.bucket.rate) this.bucket = this.bucket.resize(rate, sizeOf(rate), now);
    const waitMs = this.bucket.waitMs(1, now);
    if (waitMs > maxWaitMs) return { kind: 'refused', waitMs };
    this.bucket = this.bucket.take(1, now);
    return { kind: 'granted', waitMs };
  }
}

/** The rate at which the permits of an upstream with a limit are given. */
export function permitRate(perSecond: number): number {
  return Math.max(minPerSecond, perSecond);
}

function sizeOf(rate: number): number {
  return burst + (rate * burstMs) / 1000;
}

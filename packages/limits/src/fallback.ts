/** Limits without their keeper: a node goes on at the pace that it was given lately. */

import type { Millis } from '@tanagercart/base';
import { Bucket } from './bucket.js';
import type { Contract } from './contract.js';

/** Time over which the pace is averaged, in milliseconds. */
const paceWindowMs: Millis = 1000;

/** Requests that a node may run at once, and start per second, without any pace: an idle account is not shut out. */
const leastRunning = 1;
const leastPace = 1;

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
  mayAdmit(running: number, contract: Contract, now: Millis): boolean {
    if (running >= Math.min(Math.max(this.peak, leastRunning), contract.concurrency)) {
      return false;
    }
    const pace = Math.max(this.paceAt(now), leastPace);
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

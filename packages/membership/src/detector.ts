/** Tells when an upstream that announces itself regularly has fallen silent. */

import type { Millis } from '@tanagercart/base';

/** Weight of one interval in the running mean and variance. */
const weight = 1 / 32;

/** Standard deviations beyond the mean: one in 10^8 intervals of a normal distribution (phi 8). */
const deviations = 5.6;

/** Least and most silence after which an upstream counts as down, in milliseconds. */
const leastPatienceMs: Millis = 2000;
const mostPatienceMs: Millis = 3000;

/** Standard deviation assumed at least, in milliseconds. */
const leastDeviationMs: Millis = 50;

/** An accrual failure detector over the times between heartbeats. */
export class SilenceDetector {
  private mean: Millis;
  private variance: number;

  private constructor(
    private last: Millis,
    expectedMs: Millis,
  ) {
    this.mean = expectedMs;
    this.variance = (expectedMs / 4) ** 2;
  }

  /** Starts at `now` with no history, as if a heartbeat had just come. */
  static create(now: Millis, expectedMs: Millis): SilenceDetector {
    return new SilenceDetector(now, expectedMs);
  }

  /** Notes a heartbeat. */
  heard(at: Millis): void {
    const interval = at - this.last;
    const off = interval - this.mean;
    this.mean += weight * off;
    this.variance = (1 - weight) * (this.variance + weight * off * off);
    this.last = at;
  }

  /** Counts a pause of this process as no silence. */
  shift(ms: Millis): void {
    this.last += ms;
  }

  /** Silence after which the upstream counts as down. */
  get patienceMs(): Millis {
    return Math.min(mostPatienceMs, Math.max(leastPatienceMs, this.usualMs));
  }

  /** Whether the next heartbeat is later than usual, though not yet by enough to count as down. */
  isLate(now: Millis): boolean {
    return this.last + this.usualMs <= now;
  }

  /** Time within which heartbeats usually come. */
  private get usualMs(): Millis {
    const deviation = Math.max(leastDeviationMs, Math.sqrt(this.variance));
    return this.mean + deviations * deviation;
  }

  isSilent(now: Millis): boolean {
    return this.last + this.patienceMs <= now;
  }
}

/** A failure detector for upstreams, which send heartbeats at regular intervals. */

import type { Millis } from '@tanagercart/base';

/** Weight of one interval in the moving mean and variance. */
const intervalWeight = 1 / 32;

/**
 * Standard deviations beyond the mean at which a heartbeat counts as late. Of normally distributed
 * intervals, one in 10^8 is longer (phi 8).
 */
const lateDeviations = 5.6;

/** Bounds of the silence after which an upstream counts as down, in milliseconds. */
const minTimeoutMs: Millis = 2000;
const maxTimeoutMs: Millis = 3000;

/** Lower bound of the standard deviation used, in milliseconds. */
const minDeviationMs: Millis = 50;

/**
 * An accrual failure detector. It derives its timeout from the mean and the variance of the
 * intervals between heartbeats.
 */
export class FailureDetector {
  private meanMs: Millis;
  private variance: number;

  private constructor(
    private lastHeartbeatAt: Millis,
    expectedMs: Millis,
  ) {
    this.meanMs = expectedMs;
    this.variance = (expectedMs / 4) ** 2;
  }

  /** Starts at `now` without a history, as if a heartbeat had just arrived. */
  static create(now: Millis, expectedMs: Millis): FailureDetector {
    return new FailureDetector(now, expectedMs);
  }

  recordHeartbeat(at: Millis): void {
    const interval = at - this.lastHeartbeatAt;
    const deviation = interval - this.meanMs;
    this.meanMs += intervalWeight * deviation;
    this.variance = (1 - intervalWeight) * (this.variance + intervalWeight * deviation * deviation);
    this.lastHeartbeatAt = at;
  }

  /** Excludes a pause of this process of `ms` milliseconds from the silence of the upstream. */
  excludePause(ms: Millis): void {
    this.lastHeartbeatAt += ms;
  }

  /** Silence after which the upstream counts as down, in milliseconds. */
  get timeoutMs(): Millis {
    return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, this.lateAfterMs));
  }

  /** Whether the next heartbeat is overdue, even if the upstream does not count as down yet. */
  isLate(now: Millis): boolean {
    return this.lastHeartbeatAt + this.lateAfterMs <= now;
  }

  /** Time within which the next heartbeat normally arrives, in milliseconds. */
  private get lateAfterMs(): Millis {
    const deviation = Math.max(minDeviationMs, Math.sqrt(this.variance));
    return this.meanMs + lateDeviations * deviation;
  }

  /** Whether the upstream counts as down. */
  isSilent(now: Millis): boolean {
    return this.lastHeartbeatAt + this.timeoutMs <= now;
  }
}

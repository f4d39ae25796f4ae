/**
 * A clock that also counts the time for which the machine was suspended. Monotonic time may stand
 * still during a suspension, and a lease that other nodes count as expired would then look valid.
 */

import type { Clock, Millis } from './clock.js';

/** Wall time that runs ahead by up to this much counts as clock drift, not as a suspension. */
const maxDriftMs: Millis = 100;

/**
 * Adds every forward jump of wall time against monotonic time to `latest` of another clock. A
 * forward step of the wall clock counts as a suspension too: leases of this node then expire early,
 * which is safe.
 */
export class SuspendAwareClock implements Clock {
  private suspendedMs: Millis = 0;
  private lastNow: Millis;
  private lastWall: Millis;

  private constructor(private readonly inner: Clock) {
    this.lastNow = inner.now();
    this.lastWall = inner.wall();
  }

  static create(inner: Clock): SuspendAwareClock {
    return new SuspendAwareClock(inner);
  }

  now(): Millis {
    return this.inner.now();
  }

  latest(): Millis {
    const now = this.inner.now();
    const wall = this.inner.wall();
    const jumpMs = wall - this.lastWall - (now - this.lastNow);
    if (jumpMs > maxDriftMs) this.suspendedMs += jumpMs;
    this.lastNow = now;
    this.lastWall = wall;
    return now + this.suspendedMs;
  }

  wall(): Millis {
    return this.inner.wall();
  }

  sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
    return this.inner.sleep(ms, signal);
  }
}

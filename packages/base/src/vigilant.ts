/** A clock that also counts the time for which the machine was suspended. */

import type { Clock, Millis } from './clock.js';

/** Wall time may run ahead of monotonic time by this much without counting as a suspension. */
const driftMs: Millis = 100;

/**
 * Adds to monotonic time whatever wall time jumps ahead of it. A step of the wall clock counts as a
 * suspension too: leases then end early, which is safe.
 */
export class SuspendAwareClock implements Clock {
  private skippedMs: Millis = 0;
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
    const now = this.inner.now();
    const wall = this.inner.wall();
    const ahead = wall - this.lastWall - (now - this.lastNow);
    if (ahead > driftMs) this.skippedMs += ahead;
    this.lastNow = now;
    this.lastWall = wall;
    return now + this.skippedMs;
  }

  wall(): Millis {
    return this.inner.wall();
  }

  sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
    return this.inner.sleep(ms, signal);
  }
}

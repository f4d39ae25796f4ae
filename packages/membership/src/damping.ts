/**
 * Flap damping for upstreams. Protects against an upstream that goes down and up again repeatedly:
 * it is kept out of service for a while instead of being recorded at each return.
 */

import type { Clock, Millis, UpstreamId } from '@tanagercart/base';

/** Half-life of a penalty, in milliseconds. */
const halfLifeMs: Millis = 60_000;

/**
 * Penalty at which an upstream is suppressed, and penalty below which it is used again. Each time
 * that it falls silent adds 1.
 */
const suppressThreshold = 2.5;
const reuseThreshold = 1;

/** Penalty below which the entry of an upstream is deleted. */
const evictThreshold = 0.05;

interface Penalty {
  readonly value: number;
  readonly at: Millis;
  readonly suppressed: boolean;
}

/** Exponentially decaying penalties, raised each time that an upstream falls silent. */
export class FlapDamping {
  private readonly penalties = new Map<UpstreamId, Penalty>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FlapDamping {
    return new FlapDamping(clock);
  }

  /** Records that an upstream fell silent. */
  recordFailure(id: UpstreamId): void {
    const value = this.currentValue(id) + 1;
    const suppressed = value >= suppressThreshold || this.penalties.get(id)?.suppressed === true;
    this.penalties.set(id, { value, at: this.clock.now(), suppressed });
  }

  /** Whether an upstream must not be recorded as up for now. */
  isSuppressed(id: UpstreamId): boolean {
    const value = this.currentValue(id);
    if (value < evictThreshold) this.penalties.delete(id);
    return this.penalties.get(id)?.suppressed === true && value >= reuseThreshold;
  }

  private currentValue(id: UpstreamId): number {
    const penalty = this.penalties.get(id);
    if (!penalty) return 0;
    return penalty.value * 0.5 ** ((this.clock.now() - penalty.at) / halfLifeMs);
  }
}

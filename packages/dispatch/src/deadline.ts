/** The promise of a tier as a clock that runs through all attempts of a request. */

import type { Clock, Millis } from '@tanagercart/base';
import type { Tier } from '@tanagercart/release';

/** Time that an interrupted stream has at least to go on, in milliseconds. */
const minResumeMs: Millis = 3000;

/** Tells how much of a promise is left. */
export class TierDeadline {
  private readonly startedAt: Millis;
  private interruptedAt: Millis | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly tier: Tier,
  ) {
    this.startedAt = clock.now();
  }

  static create(clock: Clock, tier: Tier): TierDeadline {
    return new TierDeadline(clock, tier);
  }

  /** Notes that the stream was interrupted now, unless it already is. */
  recordInterruption(): void {
    this.interruptedAt ??= this.clock.now();
  }

  /** Notes that a token was passed on. */
  recordToken(): void {
    this.interruptedAt = undefined;
  }

  /** Milliseconds left until the next token is due, after `passed` tokens. */
  leftMs(passed: number): Millis {
    const due = this.startedAt + this.tier.firstTokenMs + passed * this.tier.tokenGapMs;
    const left = due - this.clock.now();
    if (passed === 0 || this.interruptedAt === undefined) return left;
    return Math.max(left, this.interruptedAt + minResumeMs - this.clock.now());
  }
}

/** Deadline for the next token of a request, from the latency targets of its tier. */

import type { Clock, Millis } from '@tanagercart/base';
import type { Tier } from '@tanagercart/release';

/** Least time that an interrupted stream has to resume, in milliseconds. */
const minResumeMs: Millis = 3000;

/**
 * Tracks the deadline of one request across all its attempts. Time to first token and the gaps
 * between tokens add up, so that a stream ahead of its targets has time left for a retry.
 */
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

  /** Records that the stream is interrupted from now on. An earlier interruption stays in force. */
  recordInterruption(): void {
    this.interruptedAt ??= this.clock.now();
  }

  /** Records that a token was passed on, which ends an interruption. */
  recordToken(): void {
    this.interruptedAt = undefined;
  }

  /** Milliseconds left until the token after `passed` tokens is due; negative once it is late. */
  leftMs(passed: number): Millis {
    const due = this.startedAt + this.tier.firstTokenMs + passed * this.tier.tokenGapMs;
    const left = due - this.clock.now();
    if (passed === 0 || this.interruptedAt === undefined) return left;
    return Math.max(left, this.interruptedAt + minResumeMs - this.clock.now());
  }
}

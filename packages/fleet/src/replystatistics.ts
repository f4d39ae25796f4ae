/** Counts the leader's replies to watch calls and logs the counts, so that an overload has a cause. */

import type { Clock, Logger, Millis } from '@tanagercart/base';

/** Time between two lines. */
const intervalMs: Millis = 5000;

/**
 * Why a call was answered when it was: the caller lacked a change as it called, a change ended the
 * hold, or the hold ran out.
 */
export type ReplyReason = 'behind' | 'news' | 'hold-over';

/** A reply to a watch call. */
export interface ReplyRecord {
  readonly reason: ReplyReason;
  /** Whether it holds the whole state. */
  readonly isWhole: boolean;
  /** Time for which the call was held. */
  readonly heldMs: Millis;
}

/** Counts replies during one term of the leader. */
export class ReplyStatistics {
  private readonly counts = { behind: 0, news: 0, 'hold-over': 0 };
  private whole = 0;
  private longestMs: Millis = 0;
  private since: Millis;

  private constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {
    this.since = clock.now();
  }

  static create(clock: Clock, logger: Logger): ReplyStatistics {
    return new ReplyStatistics(clock, logger);
  }

  record({ reason, isWhole, heldMs }: ReplyRecord): void {
    this.counts[reason] += 1;
    if (isWhole) this.whole += 1;
    this.longestMs = Math.max(this.longestMs, heldMs);
    if (this.clock.now() - this.since >= intervalMs) this.log();
  }

  private log(): void {
    const now = this.clock.now();
    const { counts } = this;
    this.logger.info('Answered the calls of entries.', {
      withinMs: Math.round(now - this.since),
      behind: counts.behind,
      news: counts.news,
      holdOver: counts['hold-over'],
      whole: this.whole,
      longestMs: Math.round(this.longestMs),
    });
    counts.behind = 0;
    counts.news = 0;
    counts['hold-over'] = 0;
    this.whole = 0;
    this.longestMs = 0;
    this.since = now;
  }
}

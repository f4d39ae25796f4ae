/** Commit times of recent commands, from which the leader computes when a command is in force. */

import type { Millis } from '@tanagercart/base';

/** Number of commands whose commit times are kept. */
const maxEntries = 4096;

/** Upper bounds for the times at which commands were committed, by log index. */
export class CommitTimes {
  private readonly times = new Map<number, Millis>();

  private constructor(private fallback: Millis) {}

  /** `startedAt` is the bound for every command that was committed before this node started. */
  static create(startedAt: Millis): CommitTimes {
    return new CommitTimes(startedAt);
  }

  /** Records that the command at `index` was committed at time `at` or earlier. */
  record(index: number, at: Millis): void {
    this.times.set(index, at);
    if (this.times.size <= maxEntries) return;
    const [oldest, oldestAt] = this.times.entries().next().value!;
    this.times.delete(oldest);
    this.fallback = oldestAt;
  }

  /** A time by which the command at `index` was already committed. */
  upperBound(index: number): Millis {
    return this.times.get(index) ?? this.fallback;
  }
}

/** Times at which this node learned of recent commands, for telling when they are in force. */

import type { Millis } from '@tanagercart/base';

/** Commands whose times are kept. */
const kept = 4096;

/** Remembers when recent indexes were committed, as far as this node can tell. */
export class CommitTimes {
  private readonly times = new Map<number, Millis>();

  private constructor(private floor: Millis) {}

  /** `startedAt` stands for every index that was committed before. */
  static create(startedAt: Millis): CommitTimes {
    return new CommitTimes(startedAt);
  }

  record(index: number, at: Millis): void {
    this.times.set(index, at);
    if (this.times.size <= kept) return;
    const [oldest, oldestAt] = this.times.entries().next().value!;
    this.times.delete(oldest);
    this.floor = oldestAt;
  }

  /** A time at which `index` was committed already. */
  at(index: number): Millis {
    return this.times.get(index) ?? this.floor;
  }
}

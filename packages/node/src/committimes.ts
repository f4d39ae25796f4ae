/** Times at which this node learned of recent commands, for telling when they are in force. */

import type { Millis } from '@tanagercart/base';

/** Commands whose times are kept. */
const kept = 4096;

/** Remembers when recent indexes were committed, as far as this node can tell. */
export class CommitTimes {
  private readonly times = new Map<number, Millis>();

  static create(): CommitTimes {
    return new CommitTimes();
  }

  note(index: number, at: Millis): void {
    this.times.set(index, at);
    if (this.times.size > kept) this.times.delete(this.times.keys().next().value!);
  }

  /** When `index` was committed; an index that is no longer kept was committed long ago. */
  at(index: number): Millis {
    return this.times.get(index) ?? -Infinity;
  }
}

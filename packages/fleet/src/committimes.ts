/**
 * Since when a voter knows documents to be committed. What it has applied is committed, so it may
 * acknowledge it without the word of the leader, which may be busy, once the wait for entries is over.
 */

import type { Clock, Millis } from '@tanagercart/base';

/** Number of documents whose times are kept; operators repeat recent orders only. */
const maxTimes = 8;

/** Since when a version, or a later one, is known to be committed. */
interface CommitTime {
  readonly version: number;
  readonly at: Millis;
}

/** The times of the latest documents. */
export class CommitTimes {
  /** In the order of versions, and so of times. */
  private times: readonly CommitTime[] = [];

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): CommitTimes {
    return new CommitTimes(clock);
  }

  /** Notes that a document is committed by now. */
  record(version: number): void {
    if (version <= (this.times.at(-1)?.version ?? 0)) return;
    this.times = [...this.times, { version, at: this.clock.now() }].slice(-maxTimes);
  }

  /**
   * Time for which a document has been committed at least. Documents that were replaced before this
   * node noted them count from the next one.
   */
  ageMsOf(version: number): Millis {
    const known = this.times.find((t) => t.version >= version);
    return known ? this.clock.now() - known.at : 0;
  }
}

/** The crashes of upstreams, each once, as the reports of all entries tell them. */

import type { Millis } from '@tanagercart/base';

/** Reports name the same crash of an upstream where their times differ by no more than this. */
const sameCrashMs: Millis = 1000;

/** One crash of one upstream, by the clock of the leader. */
export interface Crash {
  readonly address: string;
  readonly at: Millis;
  /** Whether the request that caused it is found. */
  isExplained: boolean;
}

/** Remembers crashes for a while. */
export class CrashLog {
  private crashes: Crash[] = [];

  static create(): CrashLog {
    return new CrashLog();
  }

  /** The crash of the upstream at `address` that several reports may tell of. */
  record(address: string, at: Millis): Crash {
    const known = this.crashes.find(
      (c) => c.address === address && Math.abs(c.at - at) <= sameCrashMs,
    );
    if (known) return known;
    const crash = { address, at, isExplained: false };
    this.crashes.push(crash);
    return crash;
  }

  /** Crashes since `from`. */
  since(from: Millis): readonly Crash[] {
    return this.crashes.filter((c) => c.at >= from);
  }

  /** Forgets crashes before `before`. */
  forget(before: Millis): void {
    if (this.crashes.some((c) => c.at < before)) {
      this.crashes = this.crashes.filter((c) => c.at >= before);
    }
  }
}

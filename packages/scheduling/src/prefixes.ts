/** Which prompt prefixes a replica likely still holds, from what was sent there lately. */

import type { Digest, Millis } from '@tanagercart/base';

/** Age after which a prefix counts as evicted, in milliseconds. */
const ageLimitMs: Millis = 60_000;

/** Prefixes remembered for one replica at most. */
const prefixLimit = 4000;

/** An approximate picture of one replica's prefix cache. */
export class Prefixes {
  private readonly usedAt = new Map<Digest, Millis>();

  static create(): Prefixes {
    return new Prefixes();
  }

  /** Notes that a prompt with these prefixes was sent to the replica. */
  sent(prefix: readonly Digest[], now: Millis): void {
    for (const digest of prefix) {
      this.usedAt.delete(digest);
      this.usedAt.set(digest, now);
    }
    for (const oldest of this.usedAt.keys()) {
      if (this.usedAt.size <= prefixLimit) return;
      this.usedAt.delete(oldest);
    }
  }

  /** Share of a prompt's leading blocks that is likely cached, up to the first that is not. */
  share(prefix: readonly Digest[], now: Millis): number {
    if (prefix.length === 0) return 0;
    const missing = prefix.findIndex((d) => (this.usedAt.get(d) ?? -Infinity) < now - ageLimitMs);
    return missing < 0 ? 1 : missing / prefix.length;
  }
}

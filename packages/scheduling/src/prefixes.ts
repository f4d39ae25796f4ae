/**
 * Estimates which prompt prefixes are in the KV cache of a replica, from the prompts that were sent
 * there recently. The replica itself does not report its cache.
 */

import type { Digest, Millis } from '@tanagercart/base';

/** A prefix that has not been used for longer than this is assumed to be evicted. */
const maxAgeMs: Millis = 60_000;

/** Bounds the memory for one replica: the least recently used prefixes are evicted. */
const maxPrefixes = 4000;

/** Approximate content of the prefix cache of one replica. */
export class PrefixCacheEstimate {
  private readonly lastUsedAt = new Map<Digest, Millis>();

  static create(): PrefixCacheEstimate {
    return new PrefixCacheEstimate();
  }

  /**
   * Records that a prompt was sent to the replica. `prefixes` has the digests of its
   * prefixes, shortest first.
   */
  recordPrompt(prefixes: readonly Digest[], now: Millis): void {
    for (const digest of prefixes) {
      this.lastUsedAt.delete(digest);
      this.lastUsedAt.set(digest, now);
    }
    for (const oldest of this.lastUsedAt.keys()) {
      if (this.lastUsedAt.size <= maxPrefixes) return;
      this.lastUsedAt.delete(oldest);
    }
  }

  /** Fraction of a prompt's prefixes that are probably cached, up to the first that is not. */
  cachedFraction(prefixes: readonly Digest[], now: Millis): number {
    if (prefixes.length === 0) return 0;
    const firstMissing = prefixes.findIndex(
      (d) => (this.lastUsedAt.get(d) ?? -Infinity) < now - maxAgeMs,
    );
    return firstMissing < 0 ? 1 : firstMissing / prefixes.length;
  }
}

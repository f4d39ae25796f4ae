/**
 * Caches the encoded bulletin, the part of the leader's replies that is the same for all entries.
 * Used when many entries call the leader at the same time: the bulletin is built and encoded once
 * for all of them instead of once for each.
 */

import type { Clock, Millis } from '@tanagercart/base';
import { encode } from '@tanagercart/protocol';
import type { Bulletin } from '@tanagercart/protocol';

/** The bulletin is rebuilt after this time, even if the revision has not changed. */
const maxAgeMs: Millis = 40;

export interface BulletinCacheOptions {
  readonly clock: Clock;
  /** A number that changes when entries should receive a new bulletin without delay. */
  readonly revision: () => number;
  readonly build: () => Bulletin;
}

interface CachedBulletin {
  readonly at: Millis;
  readonly revision: number;
  readonly bytes: Uint8Array;
}

/** Holds the bulletin that was built last. */
export class BulletinCache {
  private last: CachedBulletin | undefined;

  private constructor(private readonly o: BulletinCacheOptions) {}

  static create(options: BulletinCacheOptions): BulletinCache {
    return new BulletinCache(options);
  }

  /** The current bulletin, encoded. */
  get bytes(): Uint8Array {
    const { clock, revision, build } = this.o;
    const now = clock.now();
    const { last } = this;
    if (last && last.revision === revision() && now - last.at < maxAgeMs) return last.bytes;
    this.last = { at: now, revision: revision(), bytes: encode(build()) };
    return this.last.bytes;
  }
}

/**
 * What the leader tells all entries alike. Answers the load of many entries that ask at the same
 * time: the bulletin is put together and encoded once for all of them, not once for each.
 */

import type { Clock, Millis } from '@tanagercart/base';
import { encode } from '@tanagercart/protocol';
import type { Bulletin } from '@tanagercart/protocol';

/** A bulletin is put together again after this time, also where nothing is known to have changed. */
const freshMs: Millis = 40;

export interface BulletinOptions {
  readonly clock: Clock;
  /** Changes with whatever entries should learn at once. */
  readonly revision: () => number;
  readonly gather: () => Bulletin;
}

interface Issue {
  readonly at: Millis;
  readonly revision: number;
  readonly bytes: Uint8Array;
}

/** Holds the bulletin that was put together last. */
export class BulletinBoard {
  private last: Issue | undefined;

  private constructor(private readonly o: BulletinOptions) {}

  static create(options: BulletinOptions): BulletinBoard {
    return new BulletinBoard(options);
  }

  /** The bulletin as it is now, encoded. */
  get bytes(): Uint8Array {
    const { clock, revision, gather } = this.o;
    const now = clock.now();
    const { last } = this;
    if (last && last.revision === revision() && now - last.at < freshMs) return last.bytes;
    this.last = { at: now, revision: revision(), bytes: encode(gather()) };
    return this.last.bytes;
  }
}

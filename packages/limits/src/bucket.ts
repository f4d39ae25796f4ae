/** A token bucket that may go into debt. */

import type { Millis } from '@tanagercart/base';

const msPerSecond = 1000;

/** Fills at a fixed rate up to its size; immutable. */
export class Bucket {
  private constructor(
    /** Units per second. */
    readonly rate: number,
    /** Most units that it holds. */
    readonly size: number,
    private readonly level: number,
    private readonly at: Millis,
  ) {}

  /** A bucket that holds `level` units at `now`. */
  static create(rate: number, size: number, level: number, now: Millis): Bucket {
    return new Bucket(rate, size, Math.min(level, size), now);
  }

  /** Units held at `now`; negative while in debt. */
  levelAt(now: Millis): number {
    const filled = this.level + (this.rate * (now - this.at)) / msPerSecond;
    return Math.min(this.size, filled);
  }

  /** The bucket after `units` were taken, whether or not it held them. */
  take(units: number, now: Millis): Bucket {
    return new Bucket(this.rate, this.size, Math.min(this.size, this.levelAt(now) - units), now);
  }

  /** The bucket with another rate and size. */
  resize(rate: number, size: number, now: Millis): Bucket {
    return new Bucket(rate, size, Math.min(size, this.levelAt(now)), now);
  }

  /** Milliseconds from `now` until it holds `units`; never, where that is over its size. */
  waitMs(units: number, now: Millis): Millis {
    const missing = units - this.levelAt(now);
    return missing <= 0 ? 0 : (missing / this.rate) * msPerSecond;
  }
}

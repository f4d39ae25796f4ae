/** A token bucket whose level may become negative. */

import type { Millis } from '@tanagercart/base';

const msPerSecond = 1000;

/**
 * An immutable bucket that fills at a fixed rate up to its size. Its units are requests or tokens
 * of a language model.
 */
export class Bucket {
  private constructor(
    /** Units per second. */
    readonly rate: number,
    /** The most units that it can hold. */
    readonly size: number,
    private readonly level: number,
    /** The time to which `level` refers. */
    private readonly at: Millis,
  ) {}

  /** A bucket that holds `level` units at `now`, or `size` units where that is less. */
  static create(rate: number, size: number, level: number, now: Millis): Bucket {
    return new Bucket(rate, size, Math.min(level, size), now);
  }

  /** Units that it holds at `now`; negative while more were taken than it held. */
  levelAt(now: Millis): number {
    const filled = this.level + (this.rate * (now - this.at)) / msPerSecond;
    return Math.min(this.size, filled);
  }

  /** The bucket after taking `units`, even if it holds fewer. Negative `units` are put back. */
  take(units: number, now: Millis): Bucket {
    return new Bucket(this.rate, this.size, Math.min(this.size, this.levelAt(now) - units), now);
  }

  /** The bucket with another rate and size; units above the new size are lost. */
  resize(rate: number, size: number, now: Millis): Bucket {
    return new Bucket(rate, size, Math.min(size, this.levelAt(now)), now);
  }

  /**
   * Milliseconds from `now` until it holds `units`. The result has no meaning where `units` is more
   * than its size, which it never holds.
   */
  waitMs(units: number, now: Millis): Millis {
    const missing = units - this.levelAt(now);
    return missing <= 0 ? 0 : (missing / this.rate) * msPerSecond;
  }
}

/** Spreads retry-after times, so that callers refused at the same time do not return together. */

import type { Millis, Random } from '@tanagercart/base';

/** Largest deviation from the mean, as a share of it. */
const spreadShare = 0.4;

/** Returns a time around `meanMs`, drawn evenly from the spread. */
export function jitter(random: Random, meanMs: Millis): Millis {
  return meanMs * (1 + spreadShare * (2 * random.next() - 1));
}

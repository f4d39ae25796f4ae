/** Tells refused callers when to come back. Answers many that are refused at once: they must not return at once. */

import type { Millis, Random } from '@tanagercart/base';

/** Callers come back within this share of the mean before and after it. */
const spreadShare = 0.4;

/** A time around `meanMs`, another for each caller. */
export function jitter(random: Random, meanMs: Millis): Millis {
  return meanMs * (1 + spreadShare * (2 * random.next() - 1));
}

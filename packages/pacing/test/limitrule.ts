/** The rule for requests to an upstream that has named a limit, as tests of several packages check it. */

import type { Millis } from '@tanagercart/base';

/** Time after which the rule holds, once an upstream has named its limit. */
export const contactMs: Millis = 3000;

/** Time after which an entry acts on a limit that it was told. */
export const reactionMs: Millis = 500;

/** The span in which requests are counted. */
export const windowMs: Millis = 4000;

/** Most requests that entries may send in a window to an upstream that accepts `perSecond`. */
export function allowedRequests(perSecond: number): number {
  return (perSecond * 1.5 * windowMs) / 1000 + 5;
}

/** The most of `times` in a window that ends with one of those from `judgedFrom` on. */
export function mostInWindow(times: readonly Millis[], judgedFrom: Millis = -Infinity): number {
  const countUntil = (end: Millis) => times.filter((t) => t > end - windowMs && t <= end).length;
  return Math.max(0, ...times.filter((t) => t >= judgedFrom).map(countUntil));
}

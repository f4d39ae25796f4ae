/** Decides what follows a failed attempt. */

import type { Millis } from '@tanagercart/base';

/** How an attempt failed. */
export type Failure =
  /** The request was not sent. */
  | 'unreachable'
  /** The upstream says that it did not run it. */
  | 'not-run'
  /** The connection broke or brought something else; it may have run. */
  | 'broken'
  /** No answer in time; it may have run. */
  | 'silent'
  /** The upstream ran it and answered that it failed. */
  | 'failed';

/** What is known when an attempt has failed. */
export interface FailureContext {
  readonly failure: Failure;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Upstreams that may have run the request. */
  readonly runs: number;
  /** Upstreams that may run it at most. */
  readonly maxAttempts: number;
  /** Whether one that may have run it can run it again. */
  readonly mayRunAgain: boolean;
  /** Sendings so far. */
  readonly sends: number;
  readonly remainingMs: Millis;
}

/** What to do next; the retry budget may still refuse it. */
export type RetryDecision = 'retry' | 'give-up';

/** Sendings of one request at most, refused ones with it. */
const mostSends = 4;

/** Less time than this is not worth another attempt. */
const leastMs: Millis = 30;

/** Whether the request may be sent again. */
export function decideRetry(s: FailureContext): RetryDecision {
  if (s.remainingMs < leastMs || s.sends >= mostSends) return 'give-up';
  if (s.failure === 'unreachable' || s.failure === 'not-run') {
    return s.runs > 0 && !s.repeatable ? 'give-up' : 'retry';
  }
  if (!s.repeatable) return 'give-up';
  return s.runs < s.maxAttempts || s.mayRunAgain ? 'retry' : 'give-up';
}

/** Decides whether a request is sent again after a failed attempt. */

import type { Millis } from '@tanagercart/base';

/** How an attempt failed. */
export type Failure =
  /** The request was not sent. */
  | 'unreachable'
  /** The upstream reports that it did not run the request. */
  | 'not-run'
  /** The connection broke or delivered an invalid response; the request may have run. */
  | 'broken'
  /** The upstream did not respond in time; the request may have run. */
  | 'silent'
  /** The upstream ran the request and responded with an error. */
  | 'failed';

/** State of a request after a failed attempt. */
export interface FailureContext {
  readonly failure: Failure;
  /** Whether the request may run more than once. */
  readonly repeatable: boolean;
  /** Number of upstreams that may have run the request. */
  readonly runs: number;
  /** Largest number of upstreams that may run the request. */
  readonly maxAttempts: number;
  /** Whether one of the upstreams that may have run the request can be tried again. */
  readonly mayRunAgain: boolean;
  /** How often the request was sent so far, whether it ran or not, but for upstreams that were gone. */
  readonly sends: number;
  /** Number of attempts that found their upstream gone; the request was not sent. */
  readonly misses: number;
  /** Time until the deadline. */
  readonly remainingMs: Millis;
}

/** A `retry` still has to be granted by the retry budget. */
export type RetryDecision = 'retry' | 'give-up';

/** Bounds how often one request is sent, including attempts that an upstream refused. */
const maxSends = 4;

/** Bounds the connections that are refused to one request where many upstreams have ended at once. */
const maxMisses = 12;

/** An attempt with less time than this until the deadline is not started. */
const minRemainingMs: Millis = 30;

/**
 * Decides whether the request may be sent again. A request that is not repeatable is sent again
 * only where no upstream can have run it.
 */
export function decideRetry(s: FailureContext): RetryDecision {
  if (s.remainingMs < minRemainingMs) return 'give-up';
  if (s.sends >= maxSends || s.misses >= maxMisses) return 'give-up';
  if (s.failure === 'unreachable' || s.failure === 'not-run') {
    return s.runs > 0 && !s.repeatable ? 'give-up' : 'retry';
  }
  if (!s.repeatable) return 'give-up';
  return s.runs < s.maxAttempts || s.mayRunAgain ? 'retry' : 'give-up';
}

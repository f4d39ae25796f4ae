/** Refusals as they are sent to callers. */

import type { Millis } from '@tanagercart/base';
import type { RefusalReason } from '@tanagercart/protocol';

/** A refusal of a request. */
export interface Refusal {
  readonly reason: RefusalReason;
  /** `not-run` only if nothing was sent that an upstream could have run. */
  readonly run: 'not-run' | 'unknown';
  readonly message: string;
  /** Time after which the caller may retry, in milliseconds, if one is known. */
  readonly retryAfterMs: Millis | undefined;
}

/** A refusal of a request that was not run. */
export function notRun(reason: RefusalReason, message: string, retryAfterMs?: Millis): Refusal {
  return { reason, run: 'not-run', message, retryAfterMs };
}

/** A refusal of a request that may have been run. */
export function maybeRun(reason: RefusalReason, message: string): Refusal {
  return { reason, run: 'unknown', message, retryAfterMs: undefined };
}

/** Refusals as callers are told of them. */

import type { Millis } from '@tanagercart/base';
import type { RefusalReason } from '@tanagercart/protocol';

/** Why and how a request was refused. */
export interface Refusal {
  readonly reason: RefusalReason;
  /**
   * `not-run` only when nothing was sent that an upstream could have run; `copy-not-run` where this
   * holds for this copy of a keyed call, and nothing is known of earlier ones.
   */
  readonly run: 'not-run' | 'copy-not-run' | 'unknown';
  readonly message: string;
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

/** Causes for which attempts fail, and how each is handled. */

import { unreachable } from '@tanagercart/base';
import type { UpstreamId } from '@tanagercart/base';
import type { RunFailure } from '@tanagercart/upstream';

/** Why an attempt ended without a whole answer. The counters of retries are labelled by kind. */
export type RetryCause =
  /** The engine refused the attempt, so nothing was run. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** No connection could be made, so nothing was run. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The stream broke before its first token. */
  | {
      readonly kind: 'died-before-first';
      readonly detail: string;
      readonly suspect: UpstreamId | undefined;
    }
  /** The stream broke after tokens of this attempt were passed on. */
  | {
      readonly kind: 'died-mid-stream';
      readonly detail: string;
      readonly suspect: UpstreamId | undefined;
    }
  /** No frame arrived within the stall timeout. */
  | { readonly kind: 'stalled'; readonly detail: string }
  /** The frames or receipts of the stream don't match the request. */
  | { readonly kind: 'corrupt'; readonly detail: string }
  /** The owner preempted the grant. */
  | { readonly kind: 'preempted' };

/** How a failed attempt is handled. */
export interface RetryRule {
  /** Whether an upstream may have run the attempt. */
  readonly mayHaveRun: boolean;
  /** Whether the next attempt is taken from the retry budgets and counts towards the limit. */
  readonly charged: boolean;
  /** Whether other requests back off from the replica. */
  readonly avoided: boolean;
  /** Whether the request may have crashed the upstream, and gets a strike for it. */
  readonly strikes: boolean;
}

/** Returns how an attempt that failed for a cause is handled. */
export function ruleOf(cause: RetryCause): RetryRule {
  switch (cause.kind) {
    case 'refused':
      return { mayHaveRun: false, charged: true, avoided: false, strikes: false };
    case 'unreachable':
      return { mayHaveRun: false, charged: true, avoided: true, strikes: false };
    case 'died-before-first':
    case 'died-mid-stream':
      return { mayHaveRun: true, charged: true, avoided: true, strikes: true };
    case 'corrupt':
    case 'stalled':
      return { mayHaveRun: true, charged: true, avoided: true, strikes: false };
    case 'preempted':
      return { mayHaveRun: true, charged: false, avoided: false, strikes: false };
    default:
      return unreachable(cause);
  }
}

/** Classifies the failure of an attempt that passed on `tokens` tokens. */
export function causeOf(failure: RunFailure, tokens: number): RetryCause {
  switch (failure.kind) {
    case 'refused':
    case 'unreachable':
    case 'stalled':
      return failure;
    case 'cancelled':
      return { kind: 'stalled', detail: failure.detail };
    case 'broken':
      return { ...failure, kind: tokens > 0 ? 'died-mid-stream' : 'died-before-first' };
    default:
      return unreachable(failure);
  }
}

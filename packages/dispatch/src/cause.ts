/** Why an attempt did not answer its request, and what follows from each cause. */

import { unreachable } from '@tanagercart/base';
import type { UpstreamId } from '@tanagercart/base';
import type { RunFailure } from '@tanagercart/upstream';

/** Why an attempt ended without an answer. One counter stands for each kind. */
export type RetryCause =
  /** The engine refused: nothing was run. */
  | { readonly kind: 'refused'; readonly detail: string }
  /** No connection: nothing was run. */
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
  /** No frame arrived within the bound. */
  | { readonly kind: 'stalled'; readonly detail: string }
  /** The frames or receipts of the stream do not fit the request. */
  | { readonly kind: 'corrupt'; readonly detail: string }
  /** The owner took the grant back. */
  | { readonly kind: 'preempted' };

/** What follows from a cause. */
export interface RetryRule {
  /** Whether an upstream may have run the attempt. */
  readonly mayHaveRun: boolean;
  /** Whether the next attempt is paid from the retry budgets and counts towards the limit. */
  readonly charged: boolean;
  /** Whether the replica is avoided by other requests for a while. */
  readonly avoided: boolean;
  /** Whether the upstream may have crashed because of the request. */
  readonly strikes: boolean;
}

/** The rule of each cause. */
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

/** The cause that a failure of an attempt stands for; `tokens` were passed on by it. */
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

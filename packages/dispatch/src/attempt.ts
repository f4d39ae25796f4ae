/** One attempt at a request: its parts and its end. */

import type { Millis, NodeId } from '@tanagercart/base';
import { unreachable } from '@tanagercart/base';
import type { AttemptEnd, Grant } from '@tanagercart/protocol';
import type { FinishReason, RunOrder } from '@tanagercart/upstream';
import type { AcquireResult } from './acquire.js';
import { causeOf } from './cause.js';
import type { RetryCause } from './cause.js';
import type { RequestProgress } from './progress.js';
import type { WatchedEvent, WatchedRun } from './watchedrun.js';

/** One attempt while it runs. */
export interface Attempt {
  readonly run: WatchedRun;
  readonly grant: Grant;
  readonly gate: NodeId;
  readonly startedAt: Millis;
  readonly tokensBefore: number;
}

/** What came of asking for leave to run an attempt. */
export type PermitResult =
  | { readonly kind: 'permitted'; readonly grant: Grant; readonly gate: NodeId }
  | Exclude<AcquireResult, { readonly kind: 'granted' }>;

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly reason: FinishReason }
  | { readonly kind: 'aborted' }
  | { readonly kind: 'failed'; readonly cause: RetryCause };

/** The order for the next attempt under a grant. */
export function runOrderOf({ request, assembly }: RequestProgress, grant: Grant): RunOrder {
  return {
    request: request.id,
    attempt: assembly.beginAttempt(grant),
    grant: grant.id,
    fence: grant.epoch,
    priority: grant.priority,
    model: request.model.id,
    version: request.version,
    adapter: request.adapter,
    prompt: request.prompt,
    passed: [...assembly.passed],
    seed: request.seed,
    maxTokens: request.maxTokens,
    chain: grant.stages,
  };
}

/** What an attempt's last event came to, after it gave `tokens`. */
export function outcomeOf(
  event: Exclude<WatchedEvent, { readonly kind: 'tokens' }>,
  tokens: number,
): AttemptOutcome {
  switch (event.kind) {
    case 'end':
      return { kind: 'answered', reason: event.reason };
    case 'failed':
      return { kind: 'failed', cause: causeOf(event.failure, tokens) };
    case 'preempted':
      return { kind: 'failed', cause: event };
    case 'aborted':
      return event;
    default:
      return unreachable(event);
  }
}

/** The end of an attempt as its owner is told. */
export function endOf(outcome: AttemptOutcome): AttemptEnd {
  if (outcome.kind === 'answered') return 'complete';
  if (outcome.kind === 'aborted') return 'cancelled';
  const { kind } = outcome.cause;
  if (kind === 'preempted') return 'preempted';
  return kind === 'refused' ? 'refused' : 'failed';
}

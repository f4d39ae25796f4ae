/** One attempt at a request, how it is ordered from the engines, and how it ended. */

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
  /** Node whose gate cleared the attempt. */
  readonly gate: NodeId;
  readonly startedAt: Millis;
  /** Number of tokens of the answer when the attempt started. */
  readonly tokensBefore: number;
}

/** Whether an attempt may run: it needs a grant from an owner and clearance from a gate. */
export type PermitResult =
  | { readonly kind: 'permitted'; readonly grant: Grant; readonly gate: NodeId }
  | Exclude<AcquireResult, { readonly kind: 'granted' }>;

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'answered'; readonly reason: FinishReason }
  | { readonly kind: 'aborted' }
  | { readonly kind: 'failed'; readonly cause: RetryCause };

/** Starts the next attempt under a grant and returns the order for its engines. */
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

/** Outcome of an attempt that passed on `tokens` tokens and ended with `event`. */
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

/** The end of an attempt as it is reported to the owner of its grant. */
export function endOf(outcome: AttemptOutcome): AttemptEnd {
  if (outcome.kind === 'answered') return 'complete';
  if (outcome.kind === 'aborted') return 'cancelled';
  const { kind } = outcome.cause;
  if (kind === 'preempted') return 'preempted';
  return kind === 'refused' ? 'refused' : 'failed';
}

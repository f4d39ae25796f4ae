/** One request on its way through its attempts. */

import type { Clock, Digest } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import { Assembly } from './assembly.js';
import { fingerprintOf } from './generation.js';
import type { GenerationRequest } from './generation.js';
import { prefixOf } from './prefix.js';
import { TierDeadline } from './deadline.js';

/** One request while it is dispatched. */
export interface RequestProgress {
  readonly request: GenerationRequest;
  readonly fingerprint: Digest;
  /** Names of the prompt's leading blocks. */
  readonly prefix: readonly Digest[];
  readonly assembly: Assembly;
  readonly deadline: TierDeadline;
  readonly signal: AbortSignal;
  readonly failedGrants: Grant[];
  /** Grants asked for. */
  attempts: number;
  /** Grants that an owner took back. */
  preemptions: number;
  /** Attempts that count towards the limit. */
  charged: number;
  mayHaveRun: boolean;
  /** Whether the unpaid resume is used up. */
  hasResumed: boolean;
}

/** A request before its first attempt. */
export function createRequestProgress(
  request: GenerationRequest,
  signal: AbortSignal,
  clock: Clock,
): RequestProgress {
  return {
    request,
    fingerprint: fingerprintOf(request),
    prefix: prefixOf(request),
    assembly: Assembly.create(request.id, request.passed),
    deadline: TierDeadline.create(clock, request.tier),
    signal,
    failedGrants: [],
    attempts: 0,
    preemptions: 0,
    charged: 0,
    mayHaveRun: false,
    hasResumed: false,
  };
}

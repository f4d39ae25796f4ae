/** State of one request across its attempts. */

import type { Clock, Digest } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import { Assembly } from './assembly.js';
import { TierDeadline } from './deadline.js';
import { fingerprintOf } from './generation.js';
import type { GenerationRequest } from './generation.js';
import { prefixOf } from './prefix.js';

/** What is known of a request while its attempts run. */
export interface RequestProgress {
  readonly request: GenerationRequest;
  /** Identifies equal requests, for the quarantine. */
  readonly fingerprint: Digest;
  /** Digests of the leading blocks of the prompt, shortest first. */
  readonly prefix: readonly Digest[];
  readonly assembly: Assembly;
  readonly deadline: TierDeadline;
  readonly signal: AbortSignal;
  /** Grants of charged attempts that failed; their replicas are avoided. */
  readonly failedGrants: Grant[];
  /** Number of grants that were asked for. */
  attempts: number;
  /** Number of grants that their owners preempted. */
  preemptions: number;
  /** Number of failed attempts that count towards the limit. */
  charged: number;
  /** Whether an upstream may have run one of the attempts. */
  mayHaveRun: boolean;
  /** Whether the one resume outside of the retry budgets has been used. */
  hasResumed: boolean;
}

/** Returns the state of a request before its first attempt. */
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

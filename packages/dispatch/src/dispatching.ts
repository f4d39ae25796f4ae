/** One request on its way through its attempts. */

import type { Clock, Digest } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import { Assembly } from './assembly.js';
import { fingerprintOf } from './generation.js';
import type { GenerationRequest } from './generation.js';
import { prefixOf } from './prefix.js';
import { PromiseClock } from './promise.js';

/** One request while it is dispatched. */
export interface Dispatching {
  readonly g: GenerationRequest;
  readonly fingerprint: Digest;
  /** Names of the prompt's leading blocks. */
  readonly prefix: readonly Digest[];
  readonly assembly: Assembly;
  readonly promise: PromiseClock;
  readonly signal: AbortSignal;
  readonly failed: Grant[];
  /** Grants asked for. */
  attempts: number;
  /** Grants that an owner took back. */
  preemptions: number;
  /** Attempts that count towards the limit. */
  charged: number;
  mayHaveRun: boolean;
  /** Whether the unpaid resume is used up. */
  resumed: boolean;
}

/** A request before its first attempt. */
export function dispatchingOf(
  g: GenerationRequest,
  signal: AbortSignal,
  clock: Clock,
): Dispatching {
  return {
    g,
    fingerprint: fingerprintOf(g),
    prefix: prefixOf(g),
    assembly: Assembly.create(g.id, g.passed),
    promise: PromiseClock.create(clock, g.tier),
    signal,
    failed: [],
    attempts: 0,
    preemptions: 0,
    charged: 0,
    mayHaveRun: false,
    resumed: false,
  };
}

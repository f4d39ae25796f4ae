/** One request on its way through its attempts. */

import type { Clock, Digest } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import { Assembly } from './assembly.js';
import { fingerprintOf } from './generation.js';
import type { Generation } from './generation.js';
import { PromiseClock } from './promise.js';

/** One request while it is dispatched. */
export interface Dispatching {
  readonly g: Generation;
  readonly fingerprint: Digest;
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
export function dispatchingOf(g: Generation, signal: AbortSignal, clock: Clock): Dispatching {
  return {
    g,
    fingerprint: fingerprintOf(g),
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

/**
 * How long a request waits for the permit to be sent to an upstream that has named a limit. Answers
 * the load of more requests than such upstreams accept: those that are urgent, or that a caller is
 * already reading, come before patient ones.
 */

import type { Millis } from '@tanagercart/base';
import type { Call } from './call.js';

/**
 * Share of its latency target for which a request of the highest priority waits for a permit. Those
 * of lower priorities wait less, so that they do not take the permits that are due before then.
 */
const permitWaitShare = 0.5;

/** Longest wait for a permit of a stream that has begun, before its caller disconnects. */
const resumedPermitWaitMs: Millis = 1000;

/** Longest wait for a permit; `isStarted` for a stream of which the caller has received a part. */
export function maxPermitWaitMs({ route, priority }: Call, isStarted: boolean): Millis {
  if (isStarted) return resumedPermitWaitMs;
  return (route.latencyTargetMs * permitWaitShare) / (1 + Math.max(0, priority));
}

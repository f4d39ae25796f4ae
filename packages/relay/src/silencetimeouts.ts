/** How long attempts may be silent, by the kind of the request and the times of its route. */

import type { Millis } from '@tanagercart/base';
import { isRepeatable, isStream } from './call.js';
import type { Call } from './call.js';
import type { SilenceTimeouts } from './silence.js';

/** Fraction of the remaining time after which another attempt runs beside an unanswered one. */
const responseTimeoutRatio = 0.5;

/** A stream without a first event is tried elsewhere as well after this multiple of its objective. */
const firstEventTimeoutFactor = 4;

/** A stream without an event for this long is tried elsewhere as well, before its caller disconnects. */
const maxGapMs: Millis = 1900;

/** Fraction of its objective after which the upstream of a silent stream is probed. */
const probeDelayRatio = 0.6;

/**
 * How long an attempt may go without an event before the request is tried elsewhere as well. There
 * is no limit where the request may not run again.
 */
export function silenceTimeoutsFor(call: Call, remainingMs: Millis): SilenceTimeouts {
  if (!isRepeatable(call)) return { firstEventMs: Infinity, gapMs: Infinity, probeMs: undefined };
  const { latencyTargetMs, maxEventGapMs } = call.route;
  if (!isStream(call)) {
    const ms = remainingMs * responseTimeoutRatio;
    return { firstEventMs: ms, gapMs: ms, probeMs: undefined };
  }
  const probeMs = Math.min(latencyTargetMs * probeDelayRatio, (maxEventGapMs ?? Infinity) * 1.5);
  const firstEventMs = Math.min(remainingMs, latencyTargetMs * firstEventTimeoutFactor);
  return { firstEventMs, gapMs: maxGapMs, probeMs };
}

/**
 * Predicts how long a request waits for a slot. Used to refuse a request at once when it would miss
 * its deadline (load shedding), and to hint to entries how many more requests the owner can take.
 */

import type { Millis } from '@tanagercart/base';
import { coldFirstTokenMs } from './admission.js';
import type { Candidate } from './candidates.js';
import { countPreemptible } from './preemption.js';
import { effectiveUrgency } from './queue.js';
import type { FairQueue, QueuedRequest } from './queue.js';

/** Assumed time from a preemption until its slot is free, in milliseconds. */
export const preemptionDelayMs: Millis = 50;

/** Predicted time by which the first token misses its deadline; 0 where it is in time. */
export function predictLatenessMs(
  queue: FairQueue,
  request: QueuedRequest,
  candidates: readonly Candidate[],
  now: Millis,
): Millis {
  const firstTokenMs = Math.min(...candidates.map((c) => coldFirstTokenMs(c, request.call, now)));
  const waitMs = predictWaitMs(queue, request, candidates, now);
  return Math.max(0, now + waitMs + firstTokenMs - request.deadline);
}

/**
 * Predicted time until a request gets a slot: 0 where one is free, the delay of a preemption where
 * that frees one, else the time to generate the tokens of all requests ahead and of its own.
 */
export function predictWaitMs(
  queue: FairQueue,
  request: QueuedRequest,
  candidates: readonly Candidate[],
  now: Millis,
): Millis {
  const urgency = effectiveUrgency(request, now);
  const ahead = queue
    .ahead(urgency, now)
    .filter(
      (r) =>
        r !== request && (effectiveUrgency(r, now) < urgency || r.startTag <= request.startTag),
    );
  const free = sum(candidates, (c) => Math.max(0, c.load.freeSlotsAfterPreemption));
  if (ahead.length < free) return 0;
  const preemptible = countPreemptible(request.urgency, candidates, now);
  if (ahead.length < free + preemptible) return preemptionDelayMs;
  const tokens = sum(ahead, (r) => r.expectedTokens) + request.expectedTokens;
  const rate = sum(candidates, (c) => c.load.latency.maxTokensPerSecond);
  return (tokens * 1000) / rate;
}

/**
 * Slots that are free or can be preempted for more requests like this one, less the requests that
 * wait before them; may be negative.
 */
export function predictRoom(
  queue: FairQueue,
  request: QueuedRequest,
  candidates: readonly Candidate[],
  now: Millis,
): number {
  const free = sum(candidates, (c) => c.load.freeSlotsAfterPreemption);
  const waiting = queue.ahead(request.urgency, now).length;
  return free + countPreemptible(request.urgency, candidates, now) - waiting;
}

/** Sum of `of` over all items. */
export function sum<T>(items: readonly T[], of: (item: T) => number): number {
  return items.reduce((n, item) => n + of(item), 0);
}

/**
 * Predicts how long a request waits for a slot. Used to refuse a request at once when it would miss
 * its deadline (load shedding), and to tell entries how many more requests the owner can take.
 */

import type { Millis } from '@tanagercart/base';
import { predictColdFirstTokenMs } from './admission.js';
import type { Candidate } from './candidates.js';
import { countPreemptible } from './preemption.js';
import { effectiveUrgency } from './queue.js';
import type { FairQueue, QueuedRequest } from './queue.js';

/**
 * Time from a preemption until its slot is free, in milliseconds, as assumed when waits are
 * predicted and slots are reserved for more urgent arrivals. `slotReleaseMs` in displacement.ts
 * differs.
 */
export const preemptionDelayMs: Millis = 50;

/** How long after its deadline the first token is predicted; 0 if it is in time. */
export function predictLatenessMs(
  queue: FairQueue,
  request: QueuedRequest,
  candidates: readonly Candidate[],
  now: Millis,
): Millis {
  const predictedFirstTokenMs = Math.min(
    ...candidates.map((c) => predictColdFirstTokenMs(c, request.call, now)),
  );
  const waitMs = predictWaitMs(queue, request, candidates, now);
  return Math.max(0, now + waitMs + predictedFirstTokenMs - request.deadline);
}

/**
 * Predicted time until a request gets a slot: 0 if one is free, the delay of a preemption if that
 * frees one, else the time to generate the tokens of all requests ahead and of the request itself.
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

/** Sum of `amountOf` over all items. */
export function sum<T>(items: readonly T[], amountOf: (item: T) => number): number {
  return items.reduce((n, item) => n + amountOf(item), 0);
}

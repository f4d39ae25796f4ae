/** Predicts how long a ticket waits, and how much room there is for more like it. */

import type { Millis } from '@tanagercart/base';
import { coldFirstTokenMs } from './admission.js';
import type { Candidate } from './candidates.js';
import { countPreemptible } from './preemption.js';
import { effectiveUrgency } from './queue.js';
import type { FairQueue, QueuedRequest } from './queue.js';

/** Time from asking for a grant back to its slot being free, in milliseconds. */
export const preemptionDelayMs: Millis = 50;

/** How much too late the first token of a ticket would come; 0 where its promise can be met. */
export function predictLatenessMs(
  queue: FairQueue,
  ticket: QueuedRequest,
  candidates: readonly Candidate[],
  now: Millis,
): Millis {
  const firstMs = Math.min(...candidates.map((c) => coldFirstTokenMs(c, ticket.call, now)));
  const startMs = predictWaitMs(queue, ticket, candidates, now);
  return Math.max(0, now + startMs + firstMs - ticket.deadline);
}

/** Time until a ticket gets a slot. */
export function predictWaitMs(
  queue: FairQueue,
  ticket: QueuedRequest,
  candidates: readonly Candidate[],
  now: Millis,
): Millis {
  const mine = effectiveUrgency(ticket, now);
  const ahead = queue
    .ahead(mine, now)
    .filter(
      (t) => t !== ticket && (effectiveUrgency(t, now) < mine || t.startTag <= ticket.startTag),
    );
  const free = sum(candidates, (c) => Math.max(0, c.load.freeSlotsAfterPreemption));
  if (ahead.length < free) return 0;
  const yielding = countPreemptible(ticket.urgency, candidates, now);
  if (ahead.length < free + yielding) return preemptionDelayMs;
  const tokens = sum(ahead, (t) => t.expectedTokens) + ticket.expectedTokens;
  const rate = sum(candidates, (c) => c.load.latency.maxTokensPerSecond);
  return (tokens * 1000) / rate;
}

/** Slots that more work like `ticket` could have. */
export function predictRoom(
  queue: FairQueue,
  ticket: QueuedRequest,
  candidates: readonly Candidate[],
  now: Millis,
): number {
  const free = sum(candidates, (c) => c.load.freeSlotsAfterPreemption);
  const waiting = queue.ahead(ticket.urgency, now).length;
  return free + countPreemptible(ticket.urgency, candidates, now) - waiting;
}

/** The sum of a number of each item. */
export function sum<T>(items: readonly T[], of: (item: T) => number): number {
  return items.reduce((n, item) => n + of(item), 0);
}

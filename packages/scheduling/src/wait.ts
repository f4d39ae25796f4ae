/** Predicts how long a ticket waits, and how much room there is for more like it. */

import type { Millis } from '@tanagercart/base';
import { firstTokenOn } from './admission.js';
import type { Candidate } from './candidates.js';
import { preemptible } from './preemption.js';
import { rank } from './queue.js';
import type { FairQueue, Ticket } from './queue.js';

/** Time from asking for a grant back to its slot being free, in milliseconds. */
export const preemptLeadMs: Millis = 50;

/** How much too late the first token of a ticket would come; 0 where its promise can be met. */
export function latenessOf(
  queue: FairQueue,
  ticket: Ticket,
  candidates: readonly Candidate[],
  now: Millis,
): Millis {
  const firstMs = Math.min(...candidates.map((c) => firstTokenOn(c, ticket.call, now)));
  const startMs = waitOf(queue, ticket, candidates, now);
  return Math.max(0, now + startMs + firstMs - ticket.dueAt);
}

/** Time until a ticket gets a slot. */
export function waitOf(
  queue: FairQueue,
  ticket: Ticket,
  candidates: readonly Candidate[],
  now: Millis,
): Millis {
  const mine = rank(ticket, now);
  const ahead = queue
    .ahead(mine, now)
    .filter((t) => t !== ticket && (rank(t, now) < mine || t.tag <= ticket.tag));
  const free = sum(candidates, (c) => Math.max(0, c.load.soonFree));
  if (ahead.length < free) return 0;
  const yielding = preemptible(ticket.urgency, candidates, now);
  if (ahead.length < free + yielding) return preemptLeadMs;
  const tokens = sum(ahead, (t) => t.estimate) + ticket.estimate;
  const rate = sum(candidates, (c) => c.load.model.fullRate);
  return (tokens * 1000) / rate;
}

/** Slots that more work like `ticket` could have. */
export function roomOf(
  queue: FairQueue,
  ticket: Ticket,
  candidates: readonly Candidate[],
  now: Millis,
): number {
  const free = sum(candidates, (c) => c.load.soonFree);
  const waiting = queue.ahead(ticket.urgency, now).length;
  return free + preemptible(ticket.urgency, candidates, now) - waiting;
}

/** The sum of a number of each item. */
export function sum<T>(items: readonly T[], of: (item: T) => number): number {
  return items.reduce((n, item) => n + of(item), 0);
}

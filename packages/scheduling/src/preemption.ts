/**
 * Selects the grant that is preempted for a more urgent request. Used when no replica can admit a
 * request, and when a full replica would complete it sooner than a free one. The owner asks the
 * entry of a less urgent grant to cancel its attempt and release the slot.
 */

import type { Millis } from '@tanagercart/base';
import type { Candidate } from './candidates.js';
import type { HeldGrant, ReplicaLoad } from './replica.js';

/** A request that was preempted this often is not preempted again, so that it completes. */
export const maxPreemptions = 3;

/** Added to the urgency (0 is the most urgent) of a request that overran its estimate. */
export const overrunPenalty = 0.5;

/** A grant that may be preempted, and the load of its replica. */
export interface Victim {
  readonly load: ReplicaLoad;
  readonly held: HeldGrant;
}

interface RankedVictim extends Victim {
  /** Urgency with the penalty for an overrun. */
  readonly urgency: number;
}

/**
 * Urgency of a grant compared with waiting requests: less urgent (a higher number) once it has
 * overrun its estimate.
 */
export function grantUrgency(load: ReplicaLoad, held: HeldGrant, now: Millis): number {
  return held.urgency + (load.hasOverrun(held, now) ? overrunPenalty : 0);
}

/** The least urgent of the grants that may be preempted for a request of `urgency`. */
export function findVictim(
  urgency: number,
  candidates: readonly Candidate[],
  now: Millis,
): Victim | undefined {
  let best: RankedVictim | undefined;
  for (const { load } of candidates) {
    for (const held of load.heldGrants) {
      if (!canPreempt(held, now)) continue;
      const victimUrgency = grantUrgency(load, held, now);
      if (victimUrgency <= urgency) continue;
      const victim = { load, held, urgency: victimUrgency };
      if (!best || isBetterVictim(victim, best)) best = victim;
    }
  }
  return best;
}

/** Number of grants that may be preempted for a request of `urgency`. */
export function countPreemptible(
  urgency: number,
  candidates: readonly Candidate[],
  now: Millis,
): number {
  let count = 0;
  for (const { load } of candidates) {
    for (const held of load.heldGrants) {
      if (canPreempt(held, now) && grantUrgency(load, held, now) > urgency) count += 1;
    }
  }
  return count;
}

function canPreempt(held: HeldGrant, now: Millis): boolean {
  if (now < held.preemptRetryAt) return false;
  return !held.isBeingPreempted && (held.call.preemptions ?? 0) < maxPreemptions;
}

/** Prefers the least urgent grant, then the one on the fastest replica, then the most recent. */
function isBetterVictim(a: RankedVictim, b: RankedVictim): boolean {
  if (a.urgency !== b.urgency) return a.urgency > b.urgency;
  if (a.load !== b.load) return stepMsOf(a.load) < stepMsOf(b.load);
  return a.held.grantedAt > b.held.grantedAt;
}

function stepMsOf(load: ReplicaLoad): Millis {
  return load.latency.stepMs(load.running);
}

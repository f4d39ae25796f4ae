/** Which grant to take back for more urgent work. */

import type { Millis } from '@tanagercart/base';
import type { Candidate } from './candidates.js';
import type { HeldGrant, ReplicaLoad } from './replicaload.js';

/** Preemptions of one request at most; it then runs to its end. */
export const maxPreemptions = 3;

/** What a grant that outlived its estimate gives up of its urgency. */
export const overrunPenalty = 0.5;

/** A grant that may be taken back, and where it runs. */
export interface Victim {
  readonly load: ReplicaLoad;
  readonly held: HeldGrant;
}

interface RankedVictim extends Victim {
  readonly urgency: number;
}

/** Urgency of a grant as others see it: less once it runs longer than foretold. */
export function grantUrgency(load: ReplicaLoad, held: HeldGrant, now: Millis): number {
  return held.urgency + (load.hasOverrun(held, now) ? overrunPenalty : 0);
}

/** The least urgent grant, on the fastest replica, among those less urgent than `urgency`. */
export function findVictim(
  urgency: number,
  candidates: readonly Candidate[],
  now: Millis,
): Victim | undefined {
  let best: RankedVictim | undefined;
  for (const { load } of candidates) {
    for (const held of load.heldGrants) {
      if (!canPreempt(held, now)) continue;
      const at = grantUrgency(load, held, now);
      if (at <= urgency) continue;
      const victim = { load, held, urgency: at };
      if (!best || isBetterVictim(victim, best)) best = victim;
    }
  }
  return best;
}

/** Grants less urgent than `urgency` that may be taken back. */
export function countPreemptible(
  urgency: number,
  candidates: readonly Candidate[],
  now: Millis,
): number {
  let n = 0;
  for (const { load } of candidates) {
    for (const held of load.heldGrants) {
      if (canPreempt(held, now) && grantUrgency(load, held, now) > urgency) n += 1;
    }
  }
  return n;
}

function canPreempt(held: HeldGrant, now: Millis): boolean {
  if (now < held.notPreemptedUntil) return false;
  return !held.isPreempting && (held.call.preemptions ?? 0) < maxPreemptions;
}

/** Least urgent first, then on the fastest replica, then the latest begun. */
function isBetterVictim(a: RankedVictim, b: RankedVictim): boolean {
  if (a.urgency !== b.urgency) return a.urgency > b.urgency;
  if (a.load !== b.load) return stepMsOf(a.load) < stepMsOf(b.load);
  return a.held.grantedAt > b.held.grantedAt;
}

function stepMsOf(load: ReplicaLoad): Millis {
  return load.latency.stepMs(load.running);
}

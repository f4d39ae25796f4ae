/** Which grant to take back for more urgent work. */

import type { Millis } from '@tanagercart/base';
import type { Candidate } from './candidates.js';
import type { HeldGrant, ReplicaLoad } from './replica.js';

/** Preemptions of one request at most; it then runs to its end. */
export const preemptionLimit = 3;

/** What a grant that outlived its estimate gives up of its urgency. */
export const outlivedPenalty = 0.5;

/** A grant that may be taken back, and where it runs. */
export interface Victim {
  readonly load: ReplicaLoad;
  readonly held: HeldGrant;
}

interface Ranked extends Victim {
  readonly standing: number;
}

/** Urgency of a grant as others see it: less once it runs longer than foretold. */
export function standing(load: ReplicaLoad, held: HeldGrant, now: Millis): number {
  return held.urgency + (load.outlived(held, now) ? outlivedPenalty : 0);
}

/** The least urgent grant, on the fastest replica, among those less urgent than `urgency`. */
export function victimFor(
  urgency: number,
  candidates: readonly Candidate[],
  now: Millis,
): Victim | undefined {
  let best: Ranked | undefined;
  for (const { load } of candidates) {
    for (const held of load.held) {
      if (!mayPreempt(held, now)) continue;
      const at = standing(load, held, now);
      if (at <= urgency) continue;
      const victim = { load, held, standing: at };
      if (!best || before(victim, best)) best = victim;
    }
  }
  return best;
}

/** Grants less urgent than `urgency` that may be taken back. */
export function preemptible(
  urgency: number,
  candidates: readonly Candidate[],
  now: Millis,
): number {
  let n = 0;
  for (const { load } of candidates) {
    for (const held of load.held) {
      if (mayPreempt(held, now) && standing(load, held, now) > urgency) n += 1;
    }
  }
  return n;
}

function mayPreempt(held: HeldGrant, now: Millis): boolean {
  if (now < held.sparedUntil) return false;
  return !held.preempting && (held.call.preemptions ?? 0) < preemptionLimit;
}

/** Least urgent first, then on the fastest replica, then the latest begun. */
function before(a: Ranked, b: Ranked): boolean {
  if (a.standing !== b.standing) return a.standing > b.standing;
  if (a.load !== b.load) return speedOf(a.load) < speedOf(b.load);
  return a.held.givenAt > b.held.givenAt;
}

function speedOf(load: ReplicaLoad): Millis {
  return load.model.stepMs(load.running);
}

/** Which grant to take back for more urgent work. */

import type { Millis } from '@tanagercart/base';
import type { Candidate } from './candidates.js';
import type { HeldGrant, ReplicaLoad } from './replica.js';

/** Preemptions of one request at most; it then runs to its end. */
export const preemptionLimit = 3;

/** What a grant that outlived its estimate gives up of its urgency. */
const outlivedPenalty = 0.5;

/** A grant that may be taken back, and where it runs. */
export interface Victim {
  readonly load: ReplicaLoad;
  readonly held: HeldGrant;
}

/** Urgency of a grant as others see it: less once it runs longer than foretold. */
export function standing(load: ReplicaLoad, held: HeldGrant, now: Millis): number {
  return held.urgency + (load.outlived(held, now) ? outlivedPenalty : 0);
}

/** The least urgent grant, latest begun first, among those less urgent than `urgency`. */
export function victimFor(
  urgency: number,
  candidates: readonly Candidate[],
  now: Millis,
): Victim | undefined {
  let best: (Victim & { readonly standing: number }) | undefined;
  for (const { load } of candidates) {
    for (const held of load.held) {
      if (!mayPreempt(held)) continue;
      const at = standing(load, held, now);
      if (at <= urgency) continue;
      if (!best || at > best.standing || (at === best.standing && later(held, best.held))) {
        best = { load, held, standing: at };
      }
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
      if (mayPreempt(held) && standing(load, held, now) > urgency) n += 1;
    }
  }
  return n;
}

function mayPreempt(held: HeldGrant): boolean {
  return !held.preempting && (held.call.preemptions ?? 0) < preemptionLimit;
}

function later(a: HeldGrant, b: HeldGrant): boolean {
  return a.givenAt > b.givenAt;
}

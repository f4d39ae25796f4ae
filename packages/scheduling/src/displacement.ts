/** Whether work had better wait for a slot on a fast replica than take a free one on a slow one. */

import type { Millis } from '@tanagercart/base';
import { placementOn } from './admission.js';
import type { Placement, Wish } from './admission.js';
import type { Candidate } from './candidates.js';
import { victimFor } from './preemption.js';
import type { Victim } from './preemption.js';
import type { ReplicaLoad } from './replica.js';

/** Time until a slot that is taken back is free, in milliseconds. */
const leadMs: Millis = 40;

/** What the time to the end must shrink to for a grant to be taken back. */
const gainShare = 0.85;

/** A replica worth waiting for, with the grant to take back unless a slot is on its way. */
export interface BetterPlace {
  readonly load: ReplicaLoad;
  readonly victim: Victim | undefined;
}

/**
 * The full replica that would end the work soonest, where that is soon enough. Only grants that
 * outlived their estimate are taken back for this, as each costs reading a prompt again.
 */
export function betterPlace(
  urgency: number,
  wish: Wish,
  placement: Placement,
  candidates: readonly Candidate[],
  claims: ReadonlyMap<ReplicaLoad, number>,
  now: Millis,
): BetterPlace | undefined {
  if (wish.reserve > 0) return undefined;
  let limitMs = placement.totalMs * gainShare;
  let best: BetterPlace | undefined;
  for (const candidate of candidates) {
    const { load } = candidate;
    if (load.free > 0) continue;
    const totalMs = leadMs + placementOn(wish, candidate, load.running, now).totalMs;
    if (totalMs >= limitMs) continue;
    const coming = load.soonFree - load.free > (claims.get(load) ?? 0);
    const victim = coming ? undefined : victimFor(urgency, [candidate], now);
    if (!coming && !(victim && load.outlived(victim.held, now))) continue;
    limitMs = totalMs;
    best = { load, victim };
  }
  return best;
}

/**
 * Decides whether a request should wait for a slot on a full but faster replica instead of taking a
 * free slot on a slow one. Used when replicas on different accelerators serve the same model and
 * long sequences occupy the slots of the fast ones.
 */

import type { Millis } from '@tanagercart/base';
import { predictPlacement } from './admission.js';
import type { AdmissionRequest, Placement } from './admission.js';
import type { Candidate } from './candidates.js';
import { findVictim } from './preemption.js';
import type { Victim } from './preemption.js';
import type { ReplicaLoad } from './replica.js';

/**
 * Time from a preemption until its slot is free, in milliseconds, as assumed when a full replica is
 * compared with a free one. The wait predictions use `preemptionDelayMs`, which differs.
 */
const slotReleaseMs: Millis = 40;

/**
 * A request waits only if its total time on the full replica, including the wait, is below this
 * fraction of that on the free replica.
 */
const maxDurationRatio = 0.85;

/** A replica to wait for. */
export interface FasterReplica {
  readonly load: ReplicaLoad;
  /** The grant to preempt; undefined if a slot is already about to be freed. */
  readonly victim: Victim | undefined;
}

/**
 * Finds the full replica that would complete the request first, if it is sufficiently faster than
 * `placement`. Only grants that overran their estimate are preempted for this, because each
 * preemption costs another prefill of the prompt. `claimedSlots` counts, for each replica,
 * the slots about to be freed that requests ahead in the queue already wait for.
 */
export function findFasterReplica(
  urgency: number,
  request: AdmissionRequest,
  placement: Placement,
  candidates: readonly Candidate[],
  claimedSlots: ReadonlyMap<ReplicaLoad, number>,
  now: Millis,
): FasterReplica | undefined {
  if (request.reservedSlots > 0) return undefined;
  let maxTotalMs = placement.totalMs * maxDurationRatio;
  let best: FasterReplica | undefined;
  for (const candidate of candidates) {
    const { load } = candidate;
    if (load.freeSlots > 0) continue;
    const totalMs = slotReleaseMs + predictPlacement(request, candidate, load.running, now).totalMs;
    if (totalMs >= maxTotalMs) continue;
    const hasSlotBeingFreed =
      load.freeSlotsAfterPreemption - load.freeSlots > (claimedSlots.get(load) ?? 0);
    const victim = hasSlotBeingFreed ? undefined : findVictim(urgency, [candidate], now);
    if (!hasSlotBeingFreed && !(victim && load.hasOverrun(victim.held, now))) continue;
    maxTotalMs = totalMs;
    best = { load, victim };
  }
  return best;
}

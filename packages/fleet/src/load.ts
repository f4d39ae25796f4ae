/** Arithmetic on the loads that requests place on upstreams. */

import type { UpstreamId } from '@tanagercart/base';
import type { UpstreamLoad } from '@tanagercart/protocol';

/** The load of an upstream without requests. */
export function emptyLoad(id: UpstreamId): UpstreamLoad {
  return { id, sequences: 0, entered: 0, tokenLayers: 0 };
}

/** Adds `other`, multiplied by `factor`, to `load`. A negative factor subtracts it. */
export function addLoad(load: UpstreamLoad, other: UpstreamLoad, factor = 1): UpstreamLoad {
  return {
    id: load.id,
    sequences: load.sequences + factor * other.sequences,
    entered: load.entered + factor * other.entered,
    tokenLayers: load.tokenLayers + factor * other.tokenLayers,
  };
}

/**
 * Raises negative fields to 0. The difference of two loads may have such fields if the loads were
 * reported at different times.
 */
export function clampLoad({ id, sequences, entered, tokenLayers }: UpstreamLoad): UpstreamLoad {
  return {
    id,
    sequences: Math.max(0, sequences),
    entered: Math.max(0, entered),
    tokenLayers: Math.max(0, tokenLayers),
  };
}

/** Sums loads per upstream. */
export function sumByUpstream(
  loads: Iterable<UpstreamLoad>,
): ReadonlyMap<UpstreamId, UpstreamLoad> {
  const sum = new Map<UpstreamId, UpstreamLoad>();
  for (const load of loads) sum.set(load.id, addLoad(sum.get(load.id) ?? emptyLoad(load.id), load));
  return sum;
}

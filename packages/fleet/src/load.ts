/** Arithmetic of the loads at one upstream. */

import type { UpstreamId } from '@tanagercart/base';
import type { UpstreamLoad } from '@tanagercart/protocol';

/** No load at all. */
export function emptyLoad(id: UpstreamId): UpstreamLoad {
  return { id, sequences: 0, entered: 0, tokenLayers: 0 };
}

/** A load with another added to it `times` over, which may be negative. */
export function addLoad(load: UpstreamLoad, other: UpstreamLoad, times = 1): UpstreamLoad {
  return {
    id: load.id,
    sequences: load.sequences + times * other.sequences,
    entered: load.entered + times * other.entered,
    tokenLayers: load.tokenLayers + times * other.tokenLayers,
  };
}

/** A load of which no part is below none, as differences of figures of different age may be. */
export function clampLoad({ id, sequences, entered, tokenLayers }: UpstreamLoad): UpstreamLoad {
  return {
    id,
    sequences: Math.max(0, sequences),
    entered: Math.max(0, entered),
    tokenLayers: Math.max(0, tokenLayers),
  };
}

/** Adds up loads by their upstream. */
export function sumByUpstream(
  loads: Iterable<UpstreamLoad>,
): ReadonlyMap<UpstreamId, UpstreamLoad> {
  const sum = new Map<UpstreamId, UpstreamLoad>();
  for (const load of loads) sum.set(load.id, addLoad(sum.get(load.id) ?? emptyLoad(load.id), load));
  return sum;
}

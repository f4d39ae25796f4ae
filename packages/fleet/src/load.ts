/** Arithmetic on the loads that requests place on upstreams. */

import type { ServiceId, UpstreamId } from '@tanagercart/base';
import type { TransferLoad, UpstreamLoad } from '@tanagercart/protocol';

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

/** Sums loads per upstream, without an object for each addition, as there are many. */
export function sumByUpstream(
  loads: Iterable<UpstreamLoad>,
): ReadonlyMap<UpstreamId, UpstreamLoad> {
  const sums = new Map<UpstreamId, MutableLoad>();
  for (const load of loads) {
    const sum = sums.get(load.id);
    if (sum) addTo(sum, load);
    else sums.set(load.id, { ...load });
  }
  return sums;
}

/** Sums transfers per service. */
export function sumByService(
  transfers: Iterable<TransferLoad>,
): ReadonlyMap<ServiceId, TransferLoad> {
  const sums = new Map<ServiceId, TransferLoad>();
  for (const { service, bytes } of transfers) {
    sums.set(service, { service, bytes: (sums.get(service)?.bytes ?? 0) + bytes });
  }
  return sums;
}

type MutableLoad = { -readonly [K in keyof UpstreamLoad]: UpstreamLoad[K] };

function addTo(sum: MutableLoad, load: UpstreamLoad): void {
  sum.sequences += load.sequences;
  sum.entered += load.entered;
  sum.tokenLayers += load.tokenLayers;
}

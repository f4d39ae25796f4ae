/**
 * Estimates the present load of an upstream from reports that are some time old. Protects against
 * herding: many entries that balance by the same stale figures would all send to the upstream that
 * was free a moment ago.
 */

import type { UpstreamId } from '@tanagercart/base';
import { addLoad, clampLoad, emptyLoad } from '@tanagercart/fleet';
import type { UpstreamLoad } from '@tanagercart/protocol';

/** Weight of utilisation in the response time of a plain upstream. */
const utilisationWeight = 2;

/** Factor by which the requests in progress prolong the response time of a plain upstream. */
export function loadFactor(sequences: number, slots: number): number {
  return 1 + (sequences / Math.max(1, slots)) * utilisationWeight;
}

/**
 * The load of an upstream: that of this entry now (`own`), that of the other entries as last
 * reported (`others`), and what `peers` of them have changed since, assuming that each changed its
 * load as much as this entry did since its own report (`reported`).
 */
export function estimateLoad(
  id: UpstreamId,
  own: UpstreamLoad = emptyLoad(id),
  reported: UpstreamLoad = emptyLoad(id),
  others: UpstreamLoad = emptyLoad(id),
  peers = 0,
): UpstreamLoad {
  const changed = addLoad(own, reported, -1);
  return addLoad(own, clampLoad(addLoad(others, changed, peers)));
}

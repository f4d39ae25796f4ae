/**
 * Estimates the load of an upstream now from what was told some time ago. Answers many entries that
 * choose by the same lagging figures: without it all of them crowd whatever was free a moment ago.
 */

import type { UpstreamId } from '@tanagercart/base';
import { addLoad, clampLoad, emptyLoad } from '@tanagercart/fleet';
import type { UpstreamLoad } from '@tanagercart/protocol';

/**
 * The load at an upstream: that of this entry now, that of the others as they told it, and what
 * `peers` of them have changed since if each of them did as this one.
 */
export function estimateLoad(
  id: UpstreamId,
  own: UpstreamLoad = emptyLoad(id),
  told: UpstreamLoad = emptyLoad(id),
  others: UpstreamLoad = emptyLoad(id),
  peers = 0,
): UpstreamLoad {
  const changed = addLoad(own, told, -1);
  return addLoad(own, clampLoad(addLoad(others, changed, peers)));
}

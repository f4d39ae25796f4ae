/**
 * Estimates the load of an upstream now from what was told some time ago. Answers many entries that
 * choose by the same lagging figures: without it all of them crowd whatever was free a moment ago.
 */

import type { UpstreamId } from '@tanagercart/base';
import type { UpstreamLoad } from '@tanagercart/protocol';

/**
 * The load at an upstream: that of this entry now, that of the others as they told it, and what
 * `peers` of them have changed since if each of them did as this one.
 */
export function expectedLoad(
  id: UpstreamId,
  own: UpstreamLoad | undefined,
  told: UpstreamLoad | undefined,
  others: UpstreamLoad | undefined,
  peers: number,
): UpstreamLoad {
  const part = (field: 'sequences' | 'entered' | 'tokenLayers'): number => {
    const now = own?.[field] ?? 0;
    const changed = now - (told?.[field] ?? 0);
    return now + Math.max(0, (others?.[field] ?? 0) + changed * peers);
  };
  return {
    id,
    sequences: part('sequences'),
    entered: part('entered'),
    tokenLayers: part('tokenLayers'),
  };
}

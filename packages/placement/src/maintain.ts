/** The leader's task that keeps upstreams at what the release offers. */

import type { PlacementOptions } from './options.js';
import { PlacementLease, pollIntervalMs } from './lease.js';

/** While this node leads, holds the placement lease and orders upstreams. */
export async function maintainPlacement(o: PlacementOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await o.clock.sleep(pollIntervalMs, signal);
    if (!o.isLeader()) continue;
    const lease = await PlacementLease.acquire(o);
    await lease?.run(signal);
  }
}

/** The leader's task that keeps upstreams at what the release offers. */

import type { PlacementOptions } from './options.js';
import { Tenure, lookMs } from './tenure.js';

/** While this node leads, holds the placement lease and orders upstreams. */
export async function keepPlacement(o: PlacementOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await o.clock.sleep(lookMs, signal);
    if (!o.leads()) continue;
    const tenure = await Tenure.take(o);
    await tenure?.run(signal);
  }
}

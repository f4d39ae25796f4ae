/** Counts the upstreams that can do the same work: by layer, or by service where there are none. */

import type { ServiceId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';

/** The ready upstreams of one service. */
interface ServiceHolders {
  total: number;
  /** Their number, by layer. */
  readonly byLayer: number[];
}

/** The ready upstreams among some records. */
export class Holders {
  private readonly services = new Map<ServiceId, ServiceHolders>();

  static create(records: readonly UpstreamRecord[]): Holders {
    const holders = new Holders();
    for (const record of records) if (record.phase === 'ready') holders.add(record);
    return holders;
  }

  /**
   * How many of them can do the work of an upstream: the least over its layers. Infinite for a stage
   * without layers, which does none yet.
   */
  leastFor({ service, layers, accelerator }: UpstreamRecord): number {
    const known = this.services.get(service);
    if (!layers) return accelerator === undefined ? (known?.total ?? 0) : Infinity;
    let least = Infinity;
    for (let l = layers.from; l < layers.to; l += 1) {
      least = Math.min(least, known?.byLayer[l] ?? 0);
    }
    return least;
  }

  private add({ service, layers }: UpstreamRecord): void {
    const known = this.services.get(service) ?? { total: 0, byLayer: [] };
    this.services.set(service, known);
    known.total += 1;
    if (!layers) return;
    for (let l = layers.from; l < layers.to; l += 1) {
      known.byLayer[l] = (known.byLayer[l] ?? 0) + 1;
    }
  }
}

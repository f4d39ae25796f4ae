/** Counts the load that this entry's requests in progress put on upstreams and links. */

import type { UpstreamId } from '@tanagercart/base';
import { addLoad, emptyLoad } from '@tanagercart/fleet';
import type { UpstreamLoad } from '@tanagercart/protocol';
import { Transfers } from './transfers.js';

/** Load that one request adds to one upstream. */
export type RequestLoad = UpstreamLoad;

/** Load of this entry's requests in progress, by upstream. */
export class Loads {
  /** What these requests transfer between data centres. */
  readonly transfers = Transfers.create();
  private readonly totals = new Map<UpstreamId, UpstreamLoad>();

  static create(): Loads {
    return new Loads();
  }

  /** Counts `loads` until the returned function is called; further calls of it do nothing. */
  add(loads: readonly RequestLoad[]): () => void {
    for (const load of loads) this.apply(load, 1);
    let counted = true;
    return () => {
      if (!counted) return;
      counted = false;
      for (const load of loads) this.apply(load, -1);
    };
  }

  /** The load on one upstream; undefined where no request is in progress there. */
  at(id: UpstreamId): UpstreamLoad | undefined {
    return this.totals.get(id);
  }

  get all(): readonly UpstreamLoad[] {
    return [...this.totals.values()];
  }

  private apply(load: RequestLoad, sign: 1 | -1): void {
    const total = addLoad(this.totals.get(load.id) ?? emptyLoad(load.id), load, sign);
    if (total.sequences === 0) this.totals.delete(load.id);
    else this.totals.set(load.id, total);
  }
}

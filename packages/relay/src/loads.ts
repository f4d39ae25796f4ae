/** Counts this entry's requests in progress at each upstream. */

import type { UpstreamId } from '@tanagercart/base';
import { addLoad, emptyLoad } from '@tanagercart/fleet';
import type { UpstreamLoad } from '@tanagercart/protocol';

/** What one request adds to the load of an upstream. */
export type RequestLoad = UpstreamLoad;

/** Requests in progress by upstream. */
export class Loads {
  private readonly counts = new Map<UpstreamId, UpstreamLoad>();

  static create(): Loads {
    return new Loads();
  }

  /** Counts shares until the returned function is called. */
  add(shares: readonly RequestLoad[]): () => void {
    for (const share of shares) this.change(share, 1);
    let held = true;
    return () => {
      if (!held) return;
      held = false;
      for (const share of shares) this.change(share, -1);
    };
  }

  at(id: UpstreamId): UpstreamLoad | undefined {
    return this.counts.get(id);
  }

  get all(): readonly UpstreamLoad[] {
    return [...this.counts.values()];
  }

  private change(share: RequestLoad, sign: 1 | -1): void {
    const load = addLoad(this.counts.get(share.id) ?? emptyLoad(share.id), share, sign);
    if (load.sequences === 0) this.counts.delete(share.id);
    else this.counts.set(share.id, load);
  }
}

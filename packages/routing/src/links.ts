/**
 * Latency and throughput of the links between data centres, and what chains of stages leave of it.
 */

import type { Millis } from '@tanagercart/base';

/** A link between two pipeline stages. */
export interface Link {
  readonly latencyMs: Millis;
  readonly tokensPerSecond: number;
}

/** A link and the two data centres that it connects, in either order. */
export interface LinkEntry extends Link {
  readonly between: readonly [string, string];
}

/** Link within a data centre if the table has none. */
const defaultLocalLink: Link = { latencyMs: 0.1, tokensPerSecond: 1_000_000 };

/** Link between two data centres if the table has none. */
const defaultRemoteLink: Link = { latencyMs: 1, tokensPerSecond: 100_000 };

/** Links by pair of data centres. */
export class LinkTable {
  private constructor(private readonly links: ReadonlyMap<string, Link>) {}

  static create(entries: readonly LinkEntry[] = []): LinkTable {
    return new LinkTable(new Map(entries.map((e) => [pairKey(...e.between), e])));
  }

  /** The link between stages in the data centres `a` and `b`. */
  between(a: string, b: string): Link {
    return this.links.get(pairKey(a, b)) ?? (a === b ? defaultLocalLink : defaultRemoteLink);
  }
}

/** Remaining throughput of links while chains reserve it, separately for each direction. */
export class LinkBudget {
  private readonly used = new Map<string, number>();

  private constructor(private readonly table: LinkTable) {}

  static create(table: LinkTable): LinkBudget {
    return new LinkBudget(table);
  }

  /** The link from `a` to `b`, with its remaining throughput. */
  between(a: string, b: string): Link {
    const link = this.table.between(a, b);
    const left = link.tokensPerSecond - (this.used.get(`${a}|${b}`) ?? 0);
    return { latencyMs: link.latencyMs, tokensPerSecond: Math.max(0, left) };
  }

  /** Reserves throughput on the link from `a` to `b`. */
  reserve(a: string, b: string, tokensPerSecond: number): void {
    const key = `${a}|${b}`;
    this.used.set(key, (this.used.get(key) ?? 0) + tokensPerSecond);
  }
}

function pairKey(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}

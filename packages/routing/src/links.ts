/** Qualities of the links between data centres. */

import type { Millis } from '@tanagercart/base';

/** What a link between two stages can carry. */
export interface Link {
  readonly latencyMs: Millis;
  readonly tokensPerSecond: number;
}

/** A link with the data centres that it joins, in either order. */
export interface LinkEntry extends Link {
  readonly between: readonly [string, string];
}

/** Link within a data centre where none is stated. */
const defaultLocalLink: Link = { latencyMs: 0.1, tokensPerSecond: 1_000_000 };

/** Link between data centres where none is stated. */
const defaultRemoteLink: Link = { latencyMs: 1, tokensPerSecond: 100_000 };

/** A table of links by pair of data centres. */
export class LinkTable {
  private constructor(private readonly links: ReadonlyMap<string, Link>) {}

  static create(entries: readonly LinkEntry[] = []): LinkTable {
    return new LinkTable(new Map(entries.map((e) => [pairKey(...e.between), e])));
  }

  /** The link from a stage in data centre `a` to one in `b`. */
  between(a: string, b: string): Link {
    return this.links.get(pairKey(a, b)) ?? (a === b ? defaultLocalLink : defaultRemoteLink);
  }
}

/** What is left of the links once chains use them. Capacity counts in each direction. */
export class LinkBudget {
  private readonly used = new Map<string, number>();

  private constructor(private readonly table: LinkTable) {}

  static create(table: LinkTable): LinkBudget {
    return new LinkBudget(table);
  }

  /** The link from `a` to `b` with the throughput that is left. */
  between(a: string, b: string): Link {
    const link = this.table.between(a, b);
    const left = link.tokensPerSecond - (this.used.get(`${a}|${b}`) ?? 0);
    return { latencyMs: link.latencyMs, tokensPerSecond: Math.max(0, left) };
  }

  /** Takes throughput of the link from `a` to `b`. */
  reserve(a: string, b: string, tokensPerSecond: number): void {
    const key = `${a}|${b}`;
    this.used.set(key, (this.used.get(key) ?? 0) + tokensPerSecond);
  }
}

function pairKey(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}

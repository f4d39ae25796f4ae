/** Counters and gauges, sent by hot-shots and kept for reading. */

import { StatsD } from 'hot-shots';

/** Dimensions of a measurement. */
export type Tags = Readonly<Record<string, string>>;

/** Takes measurements. */
export interface Metrics {
  /** Adds `by` to the counter `name`. */
  count(name: string, tags?: Tags, by?: number): void;
  /** Sets the gauge `name`. */
  gauge(name: string, value: number, tags?: Tags): void;
  /** Adds a time in milliseconds to the histogram `name`. */
  observe(name: string, value: number, tags?: Tags): void;
  /** The sum of the counter `name` over the tags that match `tags`. */
  read(name: string, tags?: Tags): number;
  /** Stops sending. */
  close(): void;
}

interface Series {
  readonly name: string;
  readonly tags: Tags;
  value: number;
}

/** Where statsd packets go. */
export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

/** Metrics held in memory, and sent by statsd where an address is given. */
export class StatsdMetrics implements Metrics {
  private readonly series = new Map<string, Series>();

  private constructor(private readonly client: StatsD | undefined) {}

  static create(address?: StatsdAddress): StatsdMetrics {
    if (!address) return new StatsdMetrics(undefined);
    const client = new StatsD({
      ...address,
      prefix: 'tanagercart.',
      errorHandler: () => undefined,
    });
    return new StatsdMetrics(client);
  }

  count(name: string, tags: Tags = {}, by = 1): void {
    this.find(name, tags).value += by;
    this.client?.increment(name, by, { ...tags });
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    this.find(name, tags).value = value;
    this.client?.gauge(name, value, { ...tags });
  }

  observe(name: string, value: number, tags: Tags = {}): void {
    this.client?.histogram(name, value, { ...tags });
  }

  read(name: string, tags: Tags = {}): number {
    let sum = 0;
    for (const s of this.series.values()) {
      if (s.name === name && matches(s.tags, tags)) sum += s.value;
    }
    return sum;
  }

  close(): void {
    this.client?.close();
  }

  private find(name: string, tags: Tags): Series {
    const key = `${name} ${JSON.stringify(tags)}`;
    const known = this.series.get(key);
    if (known) return known;
    const fresh: Series = { name, tags, value: 0 };
    this.series.set(key, fresh);
    return fresh;
  }
}

function matches(have: Tags, want: Tags): boolean {
  return Object.entries(want).every(([k, v]) => have[k] === v);
}

/** The interface for metrics, and an implementation that sends them to a statsd server. */

import { StatsD } from 'hot-shots';

/** Labels of a measurement, by name. */
export type Tags = Readonly<Record<string, string>>;

/** Records counters, gauges and histograms. */
export interface Metrics {
  /** Adds `by` to the counter `name`. */
  count(name: string, tags?: Tags, by?: number): void;
  /** Sets the gauge `name`. */
  gauge(name: string, value: number, tags?: Tags): void;
  /** Adds `value`, a duration in milliseconds, to the histogram `name`. */
  observe(name: string, value: number, tags?: Tags): void;
  /** Sums the counter `name` over all series whose tags include `tags`. */
  read(name: string, tags?: Tags): number;
  /** Stops sending metrics and releases the socket. */
  close(): void;
}

/** The value of a counter or gauge for one combination of tags. */
interface Series {
  readonly name: string;
  readonly tags: Tags;
  value: number;
}

/** Address of the statsd server. */
export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

/** Holds counters and gauges in memory, and sends all metrics by statsd if it has an address. */
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
    this.seriesOf(name, tags).value += by;
    this.client?.increment(name, by, { ...tags });
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    this.seriesOf(name, tags).value = value;
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

  private seriesOf(name: string, tags: Tags): Series {
    const key = `${name} ${JSON.stringify(tags)}`;
    const existing = this.series.get(key);
    if (existing) return existing;
    const created: Series = { name, tags, value: 0 };
    this.series.set(key, created);
    return created;
  }
}

function matches(tags: Tags, wanted: Tags): boolean {
  return Object.entries(wanted).every(([k, v]) => tags[k] === v);
}

/** Metrics that are held in memory and exported in the text format of Prometheus. */

import type { Registry } from 'prom-client';
import type { Metrics, Tags } from './metrics.js';

/** Prefix of every exported name. */
const namePrefix = 'tanagercart_';

/** Upper bounds of the histogram buckets, in milliseconds. */
const bucketBoundsMs = [
  1, 2, 5, 10, 20, 50, 100, 200, 350, 500, 750, 1000, 2000, 5000, 10_000, 20_000,
];

/** A counter or gauge for one combination of tags. */
interface Scalar {
  readonly tags: Tags;
  value: number;
}

/** A histogram for one combination of tags. */
interface Histogram {
  readonly tags: Tags;
  /** Number of values in each bucket; the last element counts those above the highest bound. */
  readonly counts: number[];
  sum: number;
}

/** Series by metric name, then by their tags as JSON. */
type SeriesByName<T> = Map<string, Map<string, T>>;

/** Holds metrics in memory. prom-client, which formats them, is loaded at the first export. */
export class PrometheusMetrics implements Metrics {
  private readonly counters: SeriesByName<Scalar> = new Map();
  private readonly gauges: SeriesByName<Scalar> = new Map();
  private readonly histograms: SeriesByName<Histogram> = new Map();

  static create(): PrometheusMetrics {
    return new PrometheusMetrics();
  }

  count(name: string, tags: Tags = {}, by = 1): void {
    findOrCreate(this.counters, name, tags, () => ({ tags, value: 0 })).value += by;
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    findOrCreate(this.gauges, name, tags, () => ({ tags, value: 0 })).value = value;
  }

  observe(name: string, value: number, tags: Tags = {}): void {
    const zeroCounts = () => new Array<number>(bucketBoundsMs.length + 1).fill(0);
    const histogram = findOrCreate(this.histograms, name, tags, () => ({
      tags,
      counts: zeroCounts(),
      sum: 0,
    }));
    const bucket = bucketBoundsMs.findIndex((bound) => value <= bound);
    const index = bucket < 0 ? bucketBoundsMs.length : bucket;
    histogram.counts[index] = (histogram.counts[index] ?? 0) + 1;
    histogram.sum += value;
  }

  read(name: string, tags: Tags = {}): number {
    const all = [...(this.counters.get(name)?.values() ?? [])];
    const wanted = Object.entries(tags);
    const matching = all.filter((s) => wanted.every(([k, v]) => s.tags[k] === v));
    return matching.reduce((sum, s) => sum + s.value, 0);
  }

  // eslint-disable-next-line class-methods-use-this
  close(): void {
    // Metrics are exported on request only, so there is nothing to stop.
  }

  /** Exports all metrics in the text format of Prometheus. */
  async text(): Promise<string> {
    // The default export is all that a bundle has of this module, which is in CommonJS.
    const { default: client } = await import('prom-client');
    const registry: Registry = new client.Registry();
    const registers = [registry];
    for (const [name, series] of this.counters) {
      const options = { name: exportedName(name, '_total'), help: name, registers };
      const counter = new client.Counter({ ...options, labelNames: labelsOf(series) });
      for (const { tags, value } of series.values()) counter.inc({ ...tags }, value);
    }
    for (const [name, series] of this.gauges) {
      const options = { name: exportedName(name), help: name, registers };
      const gauge = new client.Gauge({ ...options, labelNames: labelsOf(series) });
      for (const { tags, value } of series.values()) gauge.set({ ...tags }, value);
    }
    return `${await registry.metrics()}${this.histogramText()}`;
  }

  /** Formats the histograms: prom-client cannot import bucket counts that it did not record. */
  private histogramText(): string {
    const lines: string[] = [];
    for (const [name, series] of this.histograms) {
      const exported = exportedName(name);
      lines.push(`# TYPE ${exported} histogram`);
      for (const { tags, counts, sum } of series.values()) {
        let total = 0;
        counts.forEach((count, i) => {
          total += count;
          const bound = i < bucketBoundsMs.length ? String(bucketBoundsMs[i]) : '+Inf';
          lines.push(`${exported}_bucket${labelText({ ...tags, le: bound })} ${total}`);
        });
        lines.push(`${exported}_sum${labelText(tags)} ${sum}`);
        lines.push(`${exported}_count${labelText(tags)} ${total}`);
      }
    }
    return lines.length === 0 ? '' : `${lines.join('\n')}\n`;
  }
}

function findOrCreate<T>(all: SeriesByName<T>, name: string, tags: Tags, create: () => T): T {
  const series = all.get(name) ?? new Map<string, T>();
  all.set(name, series);
  const key = JSON.stringify(tags);
  const existing = series.get(key);
  if (existing) return existing;
  const created = create();
  series.set(key, created);
  return created;
}

function labelsOf(series: ReadonlyMap<string, Scalar>): string[] {
  return [...new Set([...series.values()].flatMap((s) => Object.keys(s.tags)))];
}

function labelText(tags: Tags): string {
  const parts = Object.entries(tags).map(([k, v]) => `${k}=${JSON.stringify(v)}`);
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function exportedName(name: string, suffix = ''): string {
  return `${namePrefix}${name.replace(/[.-]/g, '_')}${suffix}`;
}

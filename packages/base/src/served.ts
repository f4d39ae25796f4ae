/** Counters, gauges and histograms that are served as text. */

import type { Registry } from 'prom-client';
import type { Metrics, Tags } from './metrics.js';

/** Put before every name. */
const prefix = 'tanagercart_';

/** Upper bounds of the buckets of times, in milliseconds. */
const buckets = [1, 2, 5, 10, 20, 50, 100, 200, 350, 500, 750, 1000, 2000, 5000, 10_000, 20_000];

interface Sum {
  readonly tags: Tags;
  value: number;
}

interface Distribution {
  readonly tags: Tags;
  /** Values in each bucket, those above the last bound at the end. */
  readonly counts: number[];
  sum: number;
}

/** Series of one name, by their tags. */
type Series<T> = Map<string, Map<string, T>>;

/** Metrics held in memory; the library that formats them is loaded when they are first asked for. */
export class PrometheusMetrics implements Metrics {
  private readonly counters: Series<Sum> = new Map();
  private readonly gauges: Series<Sum> = new Map();
  private readonly histograms: Series<Distribution> = new Map();

  static create(): PrometheusMetrics {
    return new PrometheusMetrics();
  }

  count(name: string, tags: Tags = {}, by = 1): void {
    find(this.counters, name, tags, () => ({ tags, value: 0 })).value += by;
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    find(this.gauges, name, tags, () => ({ tags, value: 0 })).value = value;
  }

  observe(name: string, value: number, tags: Tags = {}): void {
    const counts = () => new Array<number>(buckets.length + 1).fill(0);
    const seen = find(this.histograms, name, tags, () => ({ tags, counts: counts(), sum: 0 }));
    const bucket = buckets.findIndex((bound) => value <= bound);
    const at = bucket < 0 ? buckets.length : bucket;
    seen.counts[at] = (seen.counts[at] ?? 0) + 1;
    seen.sum += value;
  }

  read(name: string, tags: Tags = {}): number {
    const all = [...(this.counters.get(name)?.values() ?? [])];
    const wanted = Object.entries(tags);
    const matching = all.filter((s) => wanted.every(([k, v]) => s.tags[k] === v));
    return matching.reduce((sum, s) => sum + s.value, 0);
  }

  // eslint-disable-next-line class-methods-use-this
  close(): void {
    // Nothing is sent, so nothing has to be stopped.
  }

  /** All metrics in the text format of Prometheus. */
  async text(): Promise<string> {
    const { Counter, Gauge, Registry: Served } = await import('prom-client');
    const registry: Registry = new Served();
    const registers = [registry];
    for (const [name, series] of this.counters) {
      const options = { name: servedName(name, '_total'), help: name, registers };
      const counter = new Counter({ ...options, labelNames: labelsOf(series) });
      for (const { tags, value } of series.values()) counter.inc({ ...tags }, value);
    }
    for (const [name, series] of this.gauges) {
      const options = { name: servedName(name), help: name, registers };
      const gauge = new Gauge({ ...options, labelNames: labelsOf(series) });
      for (const { tags, value } of series.values()) gauge.set({ ...tags }, value);
    }
    return `${await registry.metrics()}${this.histogramText()}`;
  }

  /** Histograms as text; the library cannot take over counts that were made elsewhere. */
  private histogramText(): string {
    const lines: string[] = [];
    for (const [name, series] of this.histograms) {
      const served = servedName(name);
      lines.push(`# TYPE ${served} histogram`);
      for (const { tags, counts, sum } of series.values()) {
        let total = 0;
        counts.forEach((count, i) => {
          total += count;
          const bound = i < buckets.length ? String(buckets[i]) : '+Inf';
          lines.push(`${served}_bucket${labelText({ ...tags, le: bound })} ${total}`);
        });
        lines.push(`${served}_sum${labelText(tags)} ${sum}`);
        lines.push(`${served}_count${labelText(tags)} ${total}`);
      }
    }
    return lines.length === 0 ? '' : `${lines.join('\n')}\n`;
  }
}

function find<T>(all: Series<T>, name: string, tags: Tags, create: () => T): T {
  const series = all.get(name) ?? new Map<string, T>();
  all.set(name, series);
  const key = JSON.stringify(tags);
  const known = series.get(key);
  if (known) return known;
  const fresh = create();
  series.set(key, fresh);
  return fresh;
}

function labelsOf(series: ReadonlyMap<string, Sum>): string[] {
  return [...new Set([...series.values()].flatMap((s) => Object.keys(s.tags)))];
}

function labelText(tags: Tags): string {
  const parts = Object.entries(tags).map(([k, v]) => `${k}=${JSON.stringify(v)}`);
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function servedName(name: string, suffix = ''): string {
  return `${prefix}${name.replace(/[.-]/g, '_')}${suffix}`;
}

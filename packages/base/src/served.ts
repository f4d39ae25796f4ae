/** Counters, gauges and histograms that are served as text. */

import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { Metrics, Tags } from './metrics.js';

/** Put before every name. */
const prefix = 'tanagercart_';

/** Upper bounds of the buckets of times, in milliseconds. */
const buckets = [1, 2, 5, 10, 20, 50, 100, 200, 350, 500, 750, 1000, 2000, 5000, 10_000, 20_000];

/** Metrics in the text format of Prometheus. */
export class ServedMetrics implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();
  private readonly sums = new Map<string, { readonly tags: Tags; value: number }[]>();

  static create(): ServedMetrics {
    return new ServedMetrics();
  }

  count(name: string, tags: Tags = {}, by = 1): void {
    const options = { help: name, labelNames: Object.keys(tags), registers: [this.registry] };
    const counter = found(
      this.counters,
      name,
      () => new Counter({ name: servedName(name, '_total'), ...options }),
    );
    counter.inc({ ...tags }, by);
    this.keep(name, tags, by);
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    const options = { help: name, labelNames: Object.keys(tags), registers: [this.registry] };
    const gauge = found(this.gauges, name, () => new Gauge({ name: servedName(name), ...options }));
    gauge.set({ ...tags }, value);
  }

  observe(name: string, value: number, tags: Tags = {}): void {
    const options = { help: name, labelNames: Object.keys(tags), registers: [this.registry] };
    const histogram = found(
      this.histograms,
      name,
      () => new Histogram({ name: servedName(name), buckets, ...options }),
    );
    histogram.observe({ ...tags }, value);
  }

  read(name: string, tags: Tags = {}): number {
    const kept = this.sums.get(name) ?? [];
    const matching = kept.filter((s) => Object.entries(tags).every(([k, v]) => s.tags[k] === v));
    return matching.reduce((sum, s) => sum + s.value, 0);
  }

  // eslint-disable-next-line class-methods-use-this
  close(): void {
    // Nothing is sent, so nothing has to be stopped.
  }

  /** All metrics as text. */
  text(): Promise<string> {
    return this.registry.metrics();
  }

  private keep(name: string, tags: Tags, by: number): void {
    const kept = this.sums.get(name) ?? [];
    this.sums.set(name, kept);
    const same = kept.find((s) => JSON.stringify(s.tags) === JSON.stringify(tags));
    if (same) same.value += by;
    else kept.push({ tags, value: by });
  }
}

function found<T>(known: Map<string, T>, name: string, create: () => T): T {
  const existing = known.get(name);
  if (existing) return existing;
  const fresh = create();
  known.set(name, fresh);
  return fresh;
}

function servedName(name: string, suffix = ''): string {
  return `${prefix}${name.replace(/[.-]/g, '_')}${suffix}`;
}

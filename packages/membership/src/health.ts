/**
 * The health of upstreams. Compares the times that an engine reports with its own baseline, to
 * distinguish a slow pipeline stage from a degraded link between two stages.
 */

import type { UpstreamId } from '@tanagercart/base';

/** The load that an engine reports in a heartbeat; every field is optional. */
export interface UpstreamLoad {
  /** Number of requests that wait in the engine. */
  readonly queue?: number | undefined;
  /** Duration of one step of the stage, in milliseconds. */
  readonly stepMs?: number | undefined;
  /** Round-trip time to each neighbouring upstream, in milliseconds. */
  readonly roundTripMs?: Readonly<Record<string, number>> | undefined;
}

/** The health of an upstream. */
export type Health =
  | { readonly kind: 'well' }
  /** Its heartbeat is overdue. */
  | { readonly kind: 'late' }
  /** Its steps take `ratio` times as long as its baseline. */
  | { readonly kind: 'slow-stage'; readonly ratio: number }
  /** The round trip to a neighbour takes `ratio` times as long as its baseline. */
  | { readonly kind: 'degraded-link'; readonly to: UpstreamId; readonly ratio: number };

/**
 * Ratios of the recent average to the baseline at which a measure becomes degraded, and at which it
 * has recovered. They differ so that a measure near one of them does not alternate.
 */
const degradedRatio = 1.6;
const recoveredRatio = 1.25;

/** Weights of one report in the recent average and in the baseline (moving averages). */
const recentWeight = 0.25;
const baselineWeight = 0.01;

/** Reports from which the first baseline is averaged, before a measure can become degraded. */
const warmUpReports = 8;

/** One measure: its recent moving average and its baseline. */
class Trend {
  private recent = 0;
  private baseline = 0;
  private reports = 0;
  private degraded = false;

  /** Recent average over baseline; 1 unless the measure is degraded. */
  get ratio(): number {
    return this.degraded ? this.recent / this.baseline : 1;
  }

  record(value: number): void {
    this.reports += 1;
    if (this.reports <= warmUpReports) {
      this.baseline += (value - this.baseline) / this.reports;
      this.recent = this.baseline;
      return;
    }
    this.recent += recentWeight * (value - this.recent);
    const ratio = this.recent / this.baseline;
    this.degraded = ratio > (this.degraded ? recoveredRatio : degradedRatio);
    // The baseline does not follow degraded values, so that a long fault is still seen as one.
    if (!this.degraded) this.baseline += baselineWeight * (value - this.baseline);
  }
}

/** The measures of one upstream and the health that follows from them. */
export class HealthTracker {
  private readonly step = new Trend();
  private readonly links = new Map<string, Trend>();

  static create(): HealthTracker {
    return new HealthTracker();
  }

  /** Records the measures in one heartbeat; links that a report no longer lists are dropped. */
  record({ stepMs, roundTripMs }: UpstreamLoad): void {
    if (stepMs !== undefined) this.step.record(stepMs);
    const entries = Object.entries(roundTripMs ?? {});
    for (const [to, ms] of entries) {
      const link = this.links.get(to) ?? new Trend();
      this.links.set(to, link);
      link.record(ms);
    }
    const kept = new Set(entries.map(([to]) => to));
    if (roundTripMs) for (const to of this.links.keys()) if (!kept.has(to)) this.links.delete(to);
  }

  /** The worst of the measures; at equal ratios a slow stage comes before a degraded link. */
  get health(): Health {
    let worst: Health = { kind: 'well' };
    let ratio = 1;
    if (this.step.ratio > ratio) {
      ratio = this.step.ratio;
      worst = { kind: 'slow-stage', ratio };
    }
    for (const [to, link] of this.links) {
      if (link.ratio <= ratio) continue;
      ratio = link.ratio;
      worst = { kind: 'degraded-link', to: to as UpstreamId, ratio };
    }
    return worst;
  }
}

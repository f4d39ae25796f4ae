/** Tells slow stages from degraded links, by what engines measure of themselves. */

import type { UpstreamId } from '@tanagercart/base';

/** What an engine reports of its load; every part is optional. */
export interface UpstreamLoad {
  /** Requests that wait in the engine. */
  readonly queue?: number | undefined;
  /** Milliseconds of one step of the stage. */
  readonly stepMs?: number | undefined;
  /** Milliseconds to each neighbour and back. */
  readonly roundTripMs?: Readonly<Record<string, number>> | undefined;
}

/** How an upstream that announces itself does. */
export type Health =
  | { readonly kind: 'well' }
  /** Its heartbeat is late. */
  | { readonly kind: 'late' }
  /** Steps take `ratio` times as long as usual. */
  | { readonly kind: 'slow-stage'; readonly ratio: number }
  /** The way to a neighbour takes `ratio` times as long as usual. */
  | { readonly kind: 'degraded-link'; readonly to: UpstreamId; readonly ratio: number };

/** Ratios at which a measure counts as bad, and as well again. */
const badRatio = 1.6;
const wellRatio = 1.25;

/** Weights of one report in the recent and in the usual value. */
const recentWeight = 0.25;
const usualWeight = 0.01;

/** Reports before a measure is judged. */
const warmUpReports = 8;

/** One measure: its recent value against its usual one. */
class Trend {
  private recent = 0;
  private usual = 0;
  private reports = 0;
  private bad = false;

  get ratio(): number {
    return this.bad ? this.recent / this.usual : 1;
  }

  note(value: number): void {
    this.reports += 1;
    if (this.reports <= warmUpReports) {
      this.usual += (value - this.usual) / this.reports;
      this.recent = this.usual;
      return;
    }
    this.recent += recentWeight * (value - this.recent);
    const ratio = this.recent / this.usual;
    this.bad = ratio > (this.bad ? wellRatio : badRatio);
    // What is bad now must not become usual.
    if (!this.bad) this.usual += usualWeight * (value - this.usual);
  }
}

/** The measures of one upstream. */
export class HealthRecord {
  private readonly step = new Trend();
  private readonly links = new Map<string, Trend>();

  static create(): HealthRecord {
    return new HealthRecord();
  }

  note({ stepMs, roundTripMs }: UpstreamLoad): void {
    if (stepMs !== undefined) this.step.note(stepMs);
    const named = Object.entries(roundTripMs ?? {});
    for (const [to, ms] of named) {
      const link = this.links.get(to) ?? new Trend();
      this.links.set(to, link);
      link.note(ms);
    }
    const now = new Set(named.map(([to]) => to));
    if (roundTripMs) for (const to of this.links.keys()) if (!now.has(to)) this.links.delete(to);
  }

  /** The worst of the measures; a slow stage before a degraded link of the same ratio. */
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

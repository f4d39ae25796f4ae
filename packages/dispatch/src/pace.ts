/** How long a stream may be silent: learnt from observed gaps, and bounded by the tier's promise. */

import type { Millis, ModelId } from '@tanagercart/base';
import type { Tier } from '@tanagercart/release';

/** Weight of a new observation in the running mean, and in the deviation. */
const meanGain = 1 / 8;
const deviationGain = 1 / 4;

/** Deviations above the mean that a gap may last. */
const deviations = 6;

/** Promised gaps that a stream may be silent at least, whatever was observed. */
const gapsAtLeast = 4;

/** Promised gaps that it may be silent where more would last too long. */
const slowGapsAtLeast = 2;

/** Silence beyond which the fewer gaps hold, in milliseconds. */
const longSilenceMs: Millis = 700;

/** Share of the promise for the first token that the first frame may take at least. */
const firstShareAtLeast = 0.5;

/** Shortest silence that counts as a stall, in milliseconds. */
const leastBoundMs: Millis = 200;

/** Longest silence that is ever waited for, in milliseconds. */
const mostBoundMs: Millis = 60_000;

/** Running mean and deviation of a delay, as TCP estimates its retransmission timeout. */
export class DelayEstimate {
  private mean: Millis | undefined;
  private deviation: Millis = 0;

  static create(): DelayEstimate {
    return new DelayEstimate();
  }

  /** Notes one delay. */
  observe(ms: Millis): void {
    if (this.mean === undefined) {
      this.mean = ms;
      this.deviation = ms / 2;
      return;
    }
    const error = ms - this.mean;
    this.mean += error * meanGain;
    this.deviation += (Math.abs(error) - this.deviation) * deviationGain;
  }

  /** A delay that is hardly ever exceeded; 0 before the first observation. */
  get boundMs(): Millis {
    return this.mean === undefined ? 0 : this.mean + deviations * this.deviation;
  }
}

/** Names what has one pace: a model under one tier. */
const nameOf = (model: ModelId, tier: Tier) => `${model} ${tier.id}`;

/** Learns the pace of streams by model and tier. */
export class Pace {
  private readonly gaps = new Map<string, DelayEstimate>();
  private readonly firsts = new Map<string, DelayEstimate>();

  static create(): Pace {
    return new Pace();
  }

  /** Notes the time from start to first frame of an attempt. */
  observeFirst(model: ModelId, tier: Tier, ms: Millis): void {
    estimate(this.firsts, nameOf(model, tier)).observe(ms);
  }

  /** Notes the time between two frames. */
  observeGap(model: ModelId, tier: Tier, ms: Millis): void {
    estimate(this.gaps, nameOf(model, tier)).observe(ms);
  }

  /** How long an attempt may take to its first frame. */
  firstBoundMs(model: ModelId, tier: Tier): Millis {
    const seen = estimate(this.firsts, nameOf(model, tier)).boundMs;
    return clamp(Math.max(seen, tier.firstTokenMs * firstShareAtLeast));
  }

  /** How long a stream may be silent between frames. */
  gapBoundMs(model: ModelId, tier: Tier): Millis {
    const seen = estimate(this.gaps, nameOf(model, tier)).boundMs;
    return clamp(Math.max(seen, leastSilenceMs(tier)));
  }
}

function estimate(table: Map<string, DelayEstimate>, name: string): DelayEstimate {
  const known = table.get(name);
  if (known) return known;
  const fresh = DelayEstimate.create();
  table.set(name, fresh);
  return fresh;
}

/** Silence that a tier's promise allows without doubt. */
function leastSilenceMs({ tokenGapMs }: Tier): Millis {
  const longMs = Math.max(longSilenceMs, tokenGapMs * slowGapsAtLeast);
  return Math.min(tokenGapMs * gapsAtLeast, longMs);
}

function clamp(ms: Millis): Millis {
  return Math.min(mostBoundMs, Math.max(leastBoundMs, ms));
}

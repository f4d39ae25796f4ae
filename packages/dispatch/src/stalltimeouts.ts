/** How long a stream may be silent: learnt from observed gaps, and bounded by the tier's promise. */

import type { Millis, ModelId } from '@tanagercart/base';
import type { Tier } from '@tanagercart/release';

/** Weight of a new observation in the running mean, and in the deviation. */
const meanGain = 1 / 8;
const deviationGain = 1 / 4;

/** Deviations above the mean that a gap may last. */
const deviationFactor = 6;

/** Promised gaps that a stream may be silent at least, whatever was observed. */
const minGaps = 4;

/** Promised gaps that it may be silent where more would last too long. */
const minSlowGaps = 2;

/** Silence beyond which the fewer gaps hold, in milliseconds. */
const longSilenceMs: Millis = 700;

/** Share of the promise for the first token that the first frame may take at least. */
const minFirstTokenShare = 0.5;

/** Shortest silence that counts as a stall, in milliseconds. */
const minTimeoutMs: Millis = 200;

/** Longest silence that is ever waited for, in milliseconds. */
const maxTimeoutMs: Millis = 60_000;

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
  get upperBoundMs(): Millis {
    return this.mean === undefined ? 0 : this.mean + deviationFactor * this.deviation;
  }
}

/** Names what has one pace: a model under one tier. */
const keyOf = (model: ModelId, tier: Tier) => `${model} ${tier.id}`;

/** Learns the pace of streams by model and tier. */
export class StallTimeouts {
  private readonly gaps = new Map<string, DelayEstimate>();
  private readonly firstTokens = new Map<string, DelayEstimate>();

  static create(): StallTimeouts {
    return new StallTimeouts();
  }

  /** Notes the time from start to first frame of an attempt. */
  observeFirstToken(model: ModelId, tier: Tier, ms: Millis): void {
    estimateOf(this.firstTokens, keyOf(model, tier)).observe(ms);
  }

  /** Notes the time between two frames. */
  observeGap(model: ModelId, tier: Tier, ms: Millis): void {
    estimateOf(this.gaps, keyOf(model, tier)).observe(ms);
  }

  /** How long an attempt may take to its first frame. */
  firstTokenTimeoutMs(model: ModelId, tier: Tier): Millis {
    const seen = estimateOf(this.firstTokens, keyOf(model, tier)).upperBoundMs;
    return clamp(Math.max(seen, tier.firstTokenMs * minFirstTokenShare));
  }

  /** How long a stream may be silent between frames. */
  gapTimeoutMs(model: ModelId, tier: Tier): Millis {
    const seen = estimateOf(this.gaps, keyOf(model, tier)).upperBoundMs;
    return clamp(Math.max(seen, minGapTimeoutMs(tier)));
  }
}

function estimateOf(estimates: Map<string, DelayEstimate>, name: string): DelayEstimate {
  const known = estimates.get(name);
  if (known) return known;
  const fresh = DelayEstimate.create();
  estimates.set(name, fresh);
  return fresh;
}

/** Silence that a tier's promise allows without doubt. */
function minGapTimeoutMs({ tokenGapMs }: Tier): Millis {
  const longMs = Math.max(longSilenceMs, tokenGapMs * minSlowGaps);
  return Math.min(tokenGapMs * minGaps, longMs);
}

function clamp(ms: Millis): Millis {
  return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, ms));
}

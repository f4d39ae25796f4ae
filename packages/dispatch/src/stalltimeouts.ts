/**
 * Stall timeouts of streams. Detects engines that hang without closing the connection. A timeout
 * adapts to the delays that were observed, with lower bounds from the latency targets of the tier.
 */

import type { Millis, ModelId } from '@tanagercart/base';
import type { Tier } from '@tanagercart/release';

/** Weight of a new observation in the smoothed mean and in the smoothed deviation. */
const meanGain = 1 / 8;
const deviationGain = 1 / 4;

/** Number of deviations above the mean at which a delay counts as a stall. */
const deviationFactor = 6;

/** Lower bound of the gap timeout, as a multiple of the token gap of the tier. */
const minGaps = 4;

/** The same multiple where `minGaps` gaps would last longer than `longSilenceMs`. */
const minSlowGaps = 2;

/** Silence that the lower bound exceeds only for `minSlowGaps` token gaps, in milliseconds. */
const longSilenceMs: Millis = 700;

/** Lower bound of the timeout for the first frame, as a share of the tier's `firstTokenMs`. */
const minFirstTokenShare = 0.5;

/** Lower bound of every stall timeout, in milliseconds. */
const minTimeoutMs: Millis = 200;

/** Upper bound of every stall timeout, in milliseconds. */
const maxTimeoutMs: Millis = 60_000;

/** Smoothed mean and deviation of a delay, as in TCP's estimate of its retransmission timeout. */
export class DelayEstimate {
  private mean: Millis | undefined;
  private deviation: Millis = 0;

  static create(): DelayEstimate {
    return new DelayEstimate();
  }

  /** Adds an observed delay, in milliseconds. */
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

  /** Delay that is hardly ever exceeded, in milliseconds; 0 before the first observation. */
  get upperBoundMs(): Millis {
    return this.mean === undefined ? 0 : this.mean + deviationFactor * this.deviation;
  }
}

/** Key of the estimates of a model under a tier. */
const nameOf = (model: ModelId, tier: Tier) => `${model} ${tier.id}`;

/** Stall timeouts by model and tier. */
export class StallTimeouts {
  private readonly gaps = new Map<string, DelayEstimate>();
  private readonly firsts = new Map<string, DelayEstimate>();

  static create(): StallTimeouts {
    return new StallTimeouts();
  }

  /** Records the time from the start of an attempt to its first frame. */
  observeFirstToken(model: ModelId, tier: Tier, ms: Millis): void {
    estimate(this.firsts, nameOf(model, tier)).observe(ms);
  }

  /** Records the time between two tokens. */
  observeGap(model: ModelId, tier: Tier, ms: Millis): void {
    estimate(this.gaps, nameOf(model, tier)).observe(ms);
  }

  /** Timeout for the first frame of an attempt, in milliseconds. */
  firstTokenTimeoutMs(model: ModelId, tier: Tier): Millis {
    const seen = estimate(this.firsts, nameOf(model, tier)).upperBoundMs;
    return clamp(Math.max(seen, tier.firstTokenMs * minFirstTokenShare));
  }

  /** Timeout for the next frame of a stream, in milliseconds. */
  gapTimeoutMs(model: ModelId, tier: Tier): Millis {
    const seen = estimate(this.gaps, nameOf(model, tier)).upperBoundMs;
    return clamp(Math.max(seen, minGapTimeoutMs(tier)));
  }
}

function estimate(table: Map<string, DelayEstimate>, name: string): DelayEstimate {
  const known = table.get(name);
  if (known) return known;
  const fresh = DelayEstimate.create();
  table.set(name, fresh);
  return fresh;
}

/** Lower bound of the gap timeout of a tier, in milliseconds. */
function minGapTimeoutMs({ tokenGapMs }: Tier): Millis {
  const longMs = Math.max(longSilenceMs, tokenGapMs * minSlowGaps);
  return Math.min(tokenGapMs * minGaps, longMs);
}

function clamp(ms: Millis): Millis {
  return Math.min(maxTimeoutMs, Math.max(minTimeoutMs, ms));
}

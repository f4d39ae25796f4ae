/** Predicts the latency of a replica from its announced throughput and observed latencies. */

import type { Millis } from '@tanagercart/base';

/** Assumed step time extrapolated to batch size 0, as a fraction of that of a full batch. */
const emptyBatchFraction = 0.6;

/** Ratio of the prefill throughput of a replica to its decode throughput with a full batch. */
const prefillSpeedup = 8;

/** Weight of the newest sample in the exponential moving averages of the corrections. */
const smoothingFactor = 0.05;

/**
 * A sample of a correction is the ratio of an observed to an uncorrected predicted time. Samples
 * are clamped to this range.
 */
const correctionRange = { min: 0.25, max: 8 };

/**
 * Step time and time to first token of one replica, as functions of its batch size. The step time
 * is linear in the batch size; correction factors adapt both curves to observed latencies.
 */
export class BatchLatency {
  private stepCorrection = 1;
  private firstTokenCorrection = 1;
  private readonly fullStepMs: Millis;

  private constructor(
    readonly slots: number,
    private readonly tokensPerSecond: number,
  ) {
    this.fullStepMs = (slots * 1000) / tokensPerSecond;
  }

  /** `slots` and `tokensPerSecond` are the minimum over the pipeline stages of the replica. */
  static create(slots: number, tokensPerSecond: number): BatchLatency {
    return new BatchLatency(slots, tokensPerSecond);
  }

  /** Predicted step time, which is the inter-token latency, of a batch of `running` sequences. */
  stepMs(running: number): Millis {
    const load = running / this.slots;
    return (
      this.stepCorrection * this.fullStepMs * (emptyBatchFraction + (1 - emptyBatchFraction) * load)
    );
  }

  /**
   * Predicted time from the grant to the first token, for a batch of `running` sequences including
   * the request. `prefillTokens` includes the prompt of the request.
   */
  firstTokenMs(running: number, prefillTokens: number): Millis {
    return this.firstTokenCorrection * this.uncorrectedFirstTokenMs(running, prefillTokens);
  }

  /** Throughput of a full batch, in tokens per second. */
  get maxTokensPerSecond(): number {
    return this.tokensPerSecond / this.stepCorrection;
  }

  /**
   * Corrects the predicted step time from the observed mean inter-token latency of a complete
   * attempt.
   */
  observeStep(running: number, observedMs: Millis): void {
    const uncorrectedMs = this.stepMs(running) / this.stepCorrection;
    this.stepCorrection = smooth(this.stepCorrection, observedMs / uncorrectedMs);
  }

  /** Corrects the predicted time to first token from an observed one. */
  observeFirstToken(running: number, prefillTokens: number, observedMs: Millis): void {
    const uncorrectedMs = this.uncorrectedFirstTokenMs(running, prefillTokens);
    this.firstTokenCorrection = smooth(this.firstTokenCorrection, observedMs / uncorrectedMs);
  }

  private uncorrectedFirstTokenMs(running: number, prefillTokens: number): Millis {
    const prefillMs = (prefillTokens * 1000) / (this.tokensPerSecond * prefillSpeedup);
    return prefillMs + 1.5 * this.stepMs(running);
  }
}

/** Exponential moving average with a clamped sample. */
function smooth(average: number, sample: number): number {
  const clamped = Math.min(correctionRange.max, Math.max(correctionRange.min, sample));
  return average + (clamped - average) * smoothingFactor;
}

/** Predicts the latency of a replica from its announced throughput and observed latencies. */

import type { Millis } from '@tanagercart/base';

/** Assumed step time of an empty batch, as a fraction of that of a full batch. */
const emptyBatchFraction = 0.6;

/** Prompt tokens that a replica prefills in the time in which a full batch generates one token. */
const prefillSpeedup = 8;

/** Weight of the newest sample in the exponential moving averages of the corrections. */
const smoothingFactor = 0.05;

/** Samples of the corrections are clamped to this range. */
const correctionRange = { min: 0.25, max: 8 };

/**
 * Step time and time to first token of one replica, as functions of its batch size. The model is
 * linear in the batch size; correction factors adapt it to the observed latencies.
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

  /** `slots` and `tokensPerSecond` are the least over the pipeline stages of the replica. */
  static create(slots: number, tokensPerSecond: number): BatchLatency {
    return new BatchLatency(slots, tokensPerSecond);
  }

  /** Time between two tokens of a sequence in a batch of `running` sequences. */
  stepMs(running: number): Millis {
    const load = running / this.slots;
    return (
      this.stepCorrection * this.fullStepMs * (emptyBatchFraction + (1 - emptyBatchFraction) * load)
    );
  }

  /** Time from a start to the first token; `prefillTokens` includes the prompt of the request. */
  firstTokenMs(running: number, prefillTokens: number): Millis {
    return this.firstTokenCorrection * this.uncorrectedFirstTokenMs(running, prefillTokens);
  }

  /** Throughput of a full batch, in tokens per second. */
  get maxTokensPerSecond(): number {
    return this.tokensPerSecond / this.stepCorrection;
  }

  /** Corrects the model by the mean time between the tokens of a complete attempt. */
  observeStep(running: number, tokenGapMs: Millis): void {
    const uncorrectedMs = this.stepMs(running) / this.stepCorrection;
    this.stepCorrection = smooth(this.stepCorrection, tokenGapMs / uncorrectedMs);
  }

  /** Corrects the model by an observed time to first token. */
  observeFirstToken(running: number, prefillTokens: number, firstTokenMs: Millis): void {
    const uncorrectedMs = this.uncorrectedFirstTokenMs(running, prefillTokens);
    this.firstTokenCorrection = smooth(this.firstTokenCorrection, firstTokenMs / uncorrectedMs);
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

/** Predicts how fast a replica steps, from what it announced and what entries observed. */

import type { Millis } from '@tanagercart/base';

/** Share of a full step that an empty batch takes, before anything was observed. */
const idleShare = 0.6;

/** Prompt tokens that a replica reads in the time of one generated token of a full batch. */
const prefillRatio = 8;

/** Weight of one observation in the corrections. */
const observationWeight = 0.05;

/** Least and greatest correction of a prediction. */
const correctionRange = { least: 0.25, most: 8 };

/** Step time of one replica as a function of the sequences that it runs. */
export class BatchModel {
  private gapCorrection = 1;
  private firstCorrection = 1;
  private readonly fullStepMs: Millis;

  private constructor(
    readonly slots: number,
    private readonly tokensPerSecond: number,
  ) {
    this.fullStepMs = (slots * 1000) / tokensPerSecond;
  }

  /** `slots` and `tokensPerSecond` are those of the chain's narrowest stage. */
  static create(slots: number, tokensPerSecond: number): BatchModel {
    return new BatchModel(slots, tokensPerSecond);
  }

  /** Time between two tokens of each of `running` sequences. */
  stepMs(running: number): Millis {
    const load = running / this.slots;
    return this.gapCorrection * this.fullStepMs * (idleShare + (1 - idleShare) * load);
  }

  /** Time from a start to the first token, behind `prefillTokens` prompt tokens, its own included. */
  firstTokenMs(running: number, prefillTokens: number): Millis {
    return this.firstCorrection * this.plainFirstMs(running, prefillTokens);
  }

  /** Tokens that a full batch yields in a second. */
  get fullRate(): number {
    return this.tokensPerSecond / this.gapCorrection;
  }

  /** Learns from one finished attempt. */
  observe(running: number, gapMs: Millis): void {
    const plain = this.stepMs(running) / this.gapCorrection;
    this.gapCorrection = moved(this.gapCorrection, gapMs / plain);
  }

  /** Learns from one observed time to the first token. */
  observeFirst(running: number, prefillTokens: number, firstMs: Millis): void {
    const plain = this.plainFirstMs(running, prefillTokens);
    this.firstCorrection = moved(this.firstCorrection, firstMs / plain);
  }

  private plainFirstMs(running: number, prefillTokens: number): Millis {
    const read = (prefillTokens * 1000) / (this.tokensPerSecond * prefillRatio);
    return read + 1.5 * this.stepMs(running);
  }
}

function moved(from: number, to: number): number {
  const bounded = Math.min(correctionRange.most, Math.max(correctionRange.least, to));
  return from + (bounded - from) * observationWeight;
}

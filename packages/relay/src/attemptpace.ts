/** Tells the pace of upstreams what one attempt shows of them. */

import type { Clock } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { RunningAttempt } from './attempts.js';
import { isStream } from './call.js';
import type { Call } from './call.js';
import type { AttemptOutcome } from './outcome.js';
import type { Expectation, PaceLimits } from './pacelimits.js';
import type { UpstreamResponse } from './upstream.js';

/** One attempt, as the paces of its upstreams see it. */
export class AttemptPace {
  private readonly expectation: Expectation;

  private constructor(
    private readonly paces: PaceLimits,
    private readonly clock: Clock,
    private readonly call: Call,
    private readonly attempt: RunningAttempt,
  ) {
    this.expectation = paces.expect(call, attempt.target, attempt.startedAt);
  }

  static create(paces: PaceLimits, clock: Clock, call: Call, attempt: RunningAttempt): AttemptPace {
    return new AttemptPace(paces, clock, call, attempt);
  }

  /** Records the answer, or the first event of a stream. */
  recordAnswer(): void {
    this.paces.recordAnswer(this.expectation, this.tookMs);
  }

  /** Records the end of the attempt; a failure is that of `failed`. */
  recordEnd(
    outcome: AttemptOutcome,
    failed: UpstreamRecord,
    response: UpstreamResponse | undefined,
  ): void {
    const { paces, expectation } = this;
    const { startedAt, events, blamed } = this.attempt;
    const isError = response !== undefined && response.head.status >= 500;
    switch (outcome.kind) {
      case 'failed':
        if (outcome.contact === 'crossed') return;
        // Too large an answer is no fault of the pace, and a silence has been counted.
        if (outcome.overrun === undefined && !blamed) paces.record(failed, 'failed', startedAt);
        return;
      case 'delivered':
        if (isError) paces.record(failed, 'failed', startedAt);
        else if (!isStream(this.call)) this.recordAnswer();
        return;
      case 'cancelled':
      default:
        // An attempt that was given up counts only once it is slower than one that was answered.
        if (events === 0 && !blamed) paces.recordUnanswered(expectation, this.tookMs);
    }
  }

  private get tookMs() {
    return this.clock.now() - this.attempt.startedAt;
  }
}

/**
 * The log lines of one request. Answers bursts: beyond a rate, lines are held back until it is
 * known how the request ends, and are written only where it failed, then whole.
 */

import type { Clock, LogFields, Logger, Millis } from '@tanagercart/base';
import type { Call } from './call.js';

/** Lines of requests written in one second; those of failed requests come on top. */
const linesPerSecond = 400;

const secondMs: Millis = 1000;

/** Bounds the lines of all requests together. */
export class LogRateLimit {
  private second = 0;
  private written = 0;
  private leftOut = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  static create(clock: Clock, logger: Logger): LogRateLimit {
    return new LogRateLimit(clock, logger);
  }

  /** Whether a line may be written now. */
  tryAcquire(): boolean {
    const second = Math.floor(this.clock.now() / secondMs);
    if (second !== this.second) {
      if (this.leftOut > 0) {
        this.logger.info('Lines of served requests were left out.', { count: this.leftOut });
      }
      this.second = second;
      this.written = 0;
      this.leftOut = 0;
    }
    this.written += 1;
    return this.written <= linesPerSecond;
  }

  /** Lines were dropped, as their request was served. */
  recordDropped(count: number): void {
    this.leftOut += count;
  }
}

interface HeldLine {
  readonly sentence: string;
  readonly fields: LogFields;
}

/** Tells the story of one request. */
export class RequestLog {
  private held: HeldLine[] = [];

  private constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
    private readonly rate: LogRateLimit,
    private readonly call: Call,
  ) {}

  static create(logger: Logger, clock: Clock, rate: LogRateLimit, call: Call): RequestLog {
    return new RequestLog(logger, clock, rate, call);
  }

  /** Writes a line, or holds it back. */
  info(sentence: string, fields: LogFields = {}): void {
    const { call } = this;
    const atMs = Math.round(this.clock.now() - call.startedAt);
    const line = { sentence, fields: { request: call.id, route: call.route.id, atMs, ...fields } };
    if (this.held.length === 0 && this.rate.tryAcquire()) this.logger.info(sentence, line.fields);
    else this.held.push(line);
  }

  /** Ends the story: lines that were held back are written where the request failed. */
  end(failed: boolean): void {
    if (failed) for (const { sentence, fields } of this.held) this.logger.info(sentence, fields);
    else if (this.held.length > 0) this.rate.recordDropped(this.held.length);
    this.held = [];
  }
}

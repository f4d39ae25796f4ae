/**
 * Log lines of one request. Bounds the log under bursts: beyond a rate, the lines of a request are
 * buffered until its outcome is known. They are written if the request failed and dropped if it was
 * served.
 */

import type { Clock, LogFields, Logger, Millis } from '@tanagercart/base';
import type { Call } from './call.js';

/** Lines of requests written in one second; those of failed requests come on top. */
const linesPerSecond = 400;

const secondMs: Millis = 1000;

/** Rate limit that the lines of all requests share. */
export class LogRateLimit {
  private second = 0;
  private written = 0;
  private dropped = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  static create(clock: Clock, logger: Logger): LogRateLimit {
    return new LogRateLimit(clock, logger);
  }

  /** Whether a line may be written now; logs how many were dropped once a new second begins. */
  tryAcquire(): boolean {
    const second = Math.floor(this.clock.now() / secondMs);
    if (second !== this.second) {
      if (this.dropped > 0) {
        this.logger.info('Lines of served requests were left out.', { count: this.dropped });
      }
      this.second = second;
      this.written = 0;
      this.dropped = 0;
    }
    this.written += 1;
    return this.written <= linesPerSecond;
  }

  /** Counts buffered lines that were dropped because their request was served. */
  recordDropped(count: number): void {
    this.dropped += count;
  }
}

interface BufferedLine {
  readonly message: string;
  readonly fields: LogFields;
}

/** Log of one request. */
export class RequestLog {
  private buffer: BufferedLine[] = [];

  private constructor(
    private readonly logger: Logger,
    private readonly clock: Clock,
    private readonly rate: LogRateLimit,
    private readonly call: Call,
  ) {}

  static create(logger: Logger, clock: Clock, rate: LogRateLimit, call: Call): RequestLog {
    return new RequestLog(logger, clock, rate, call);
  }

  /**
   * Writes a line with the time since the request began, or buffers it. Once a line is buffered,
   * all later ones are, so that they stay in order.
   */
  info(message: string, fields: LogFields = {}): void {
    const { call } = this;
    const atMs = Math.round(this.clock.now() - call.startedAt);
    const line = { message, fields: { request: call.id, route: call.route.id, atMs, ...fields } };
    if (this.buffer.length === 0 && this.rate.tryAcquire()) this.logger.info(message, line.fields);
    else this.buffer.push(line);
  }

  /** Ends the log: writes the buffered lines if the request failed, and drops them otherwise. */
  end(failed: boolean): void {
    if (failed) for (const { message, fields } of this.buffer) this.logger.info(message, fields);
    else if (this.buffer.length > 0) this.rate.recordDropped(this.buffer.length);
    this.buffer = [];
  }
}

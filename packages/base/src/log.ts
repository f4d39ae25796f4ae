/** Structured logs: short sentences with a fixed prefix for each part. */

import bunyan from 'bunyan';

/** What a log line concerns, besides its sentence. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes log lines of one part of the program. */
export interface Logger {
  debug(sentence: string, fields?: LogFields): void;
  info(sentence: string, fields?: LogFields): void;
  warn(sentence: string, fields?: LogFields): void;
  error(sentence: string, fields?: LogFields): void;
  /** A logger for `part`, whose lines start with `part: `. */
  part(part: string): Logger;
}

/** Levels of the log, least first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** Takes whole lines. */
export interface LineStream {
  write(line: string): unknown;
}

/** A logger that writes bunyan records, to standard error where nothing else is said. */
export class BunyanLogger implements Logger {
  private constructor(
    private readonly sink: bunyan,
    private readonly prefix: string,
  ) {}

  static create(name: string, level: LogLevel, stream: LineStream = process.stderr): BunyanLogger {
    const sink = bunyan.createLogger({ name, level, stream: stream as NodeJS.WritableStream });
    return new BunyanLogger(sink, '');
  }

  debug(sentence: string, fields: LogFields = {}): void {
    this.sink.debug(fields, this.prefix + sentence);
  }

  info(sentence: string, fields: LogFields = {}): void {
    this.sink.info(fields, this.prefix + sentence);
  }

  warn(sentence: string, fields: LogFields = {}): void {
    this.sink.warn(fields, this.prefix + sentence);
  }

  error(sentence: string, fields: LogFields = {}): void {
    this.sink.error(fields, this.prefix + sentence);
  }

  part(part: string): Logger {
    return new BunyanLogger(this.sink, `${part}: `);
  }
}

/** A logger that drops every line. */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  part: () => silentLogger,
};

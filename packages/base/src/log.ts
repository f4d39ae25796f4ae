/** Structured logs: short messages, with a fixed prefix for each component. */

import bunyan from 'bunyan';

/** The fields of a log line besides its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes the log lines of one component. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
  /** Creates a logger whose lines start with the name of the component `part` and `: `. */
  part(part: string): Logger;
}

/** Log levels, least severe first. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

/** A destination of log lines; each call of `write` receives one whole line. */
export interface LineStream {
  write(line: string): unknown;
}

/** A logger that writes bunyan records, by default to standard error. */
export class BunyanLogger implements Logger {
  private constructor(
    private readonly logger: bunyan,
    private readonly prefix: string,
  ) {}

  static create(name: string, level: LogLevel, stream: LineStream = process.stderr): BunyanLogger {
    const logger = bunyan.createLogger({ name, level, stream: stream as NodeJS.WritableStream });
    return new BunyanLogger(logger, '');
  }

  debug(message: string, fields: LogFields = {}): void {
    this.logger.debug(fields, this.prefix + message);
  }

  info(message: string, fields: LogFields = {}): void {
    this.logger.info(fields, this.prefix + message);
  }

  warn(message: string, fields: LogFields = {}): void {
    this.logger.warn(fields, this.prefix + message);
  }

  error(message: string, fields: LogFields = {}): void {
    this.logger.error(fields, this.prefix + message);
  }

  part(part: string): Logger {
    return new BunyanLogger(this.logger, `${part}: `);
  }
}

/** A logger that discards every line. */
export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  part: () => silentLogger,
};

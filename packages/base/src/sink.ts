/** A destination of log lines that drops lines instead of blocking the program. */

/** The stream that a sink writes to, such as standard output. */
export interface SinkTarget {
  /** Bytes that were written but not consumed yet. */
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * Bytes that may be buffered for a reader that is too slow. It bounds the memory that a stalled
 * reader costs; lines above it are dropped.
 */
const defaultMaxBufferedBytes = 256 * 1024;

/**
 * Writes lines as long as the reader keeps up. Otherwise it drops them, and reports the number of
 * dropped lines with the next line that it writes.
 */
export class BoundedSink {
  /** Lines dropped since the last one that was written. */
  private dropped = 0;
  private isClosed = false;

  private constructor(
    private readonly target: SinkTarget,
    private readonly maxBufferedBytes: number,
  ) {}

  static create(target: SinkTarget, maxBufferedBytes = defaultMaxBufferedBytes): BoundedSink {
    return new BoundedSink(target, maxBufferedBytes);
  }

  /** Drops all lines from now on, as nobody reads them any more. */
  close(): void {
    this.isClosed = true;
  }

  /** Writes a line, or drops it if the buffer of the target is full. Always returns true. */
  write(line: string): boolean {
    if (this.isClosed) return true;
    if (this.target.writableLength + line.length > this.maxBufferedBytes) {
      this.dropped += 1;
      return true;
    }
    if (this.dropped > 0) {
      const record = { level: 40, msg: 'Log lines were left out.', count: this.dropped };
      this.dropped = 0;
      this.target.write(`${JSON.stringify(record)}\n`);
    }
    this.target.write(line);
    return true;
  }
}

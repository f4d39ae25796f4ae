/** A destination of log lines that never makes the program wait. */

/** What a sink writes to: standard output, in a program. */
export interface SinkTarget {
  /** Bytes that were written and not taken yet. */
  readonly writableLength: number;
  write(text: string): boolean;
}

/** Bytes that may wait for the reader; further lines are left out. */
const defaultMostBytes = 256 * 1024;

/** Lines pass as long as their reader keeps up; then they are counted, and the count is written. */
export class BoundedSink {
  private leftOut = 0;

  private constructor(
    private readonly target: SinkTarget,
    private readonly mostBytes: number,
  ) {}

  static create(target: SinkTarget, mostBytes = defaultMostBytes): BoundedSink {
    return new BoundedSink(target, mostBytes);
  }

  /** Writes a line, or leaves it out. */
  write(line: string): boolean {
    if (this.target.writableLength + line.length > this.mostBytes) {
      this.leftOut += 1;
      return true;
    }
    if (this.leftOut > 0) {
      const fields = { level: 40, msg: 'Log lines were left out.', count: this.leftOut };
      this.leftOut = 0;
      this.target.write(`${JSON.stringify(fields)}\n`);
    }
    this.target.write(line);
    return true;
  }
}

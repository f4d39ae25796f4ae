/**
 * Bounds the bytes of a response that are no content of it: heads, interim responses, the framing of
 * chunks, and whatever a parser skips. A parser keeps little of them, and no count.
 */

/** Overhead that a response may have before its first byte of content, in bytes. */
export const maxOverheadBytes = 32 * 1024;

/** Overhead that each byte of content allows for, in bytes; a chunk of one byte has five and more. */
const overheadPerContentByte = 16;

/** An interim response costs as much work as this many bytes, however short it is. */
const interimBytes = 512;

/** Bytes that may be parsed at once where those before brought no content. */
const contentlessBytes = 4 * 1024;

/** The overhead that one response may still have. */
export class Overhead {
  private credit = maxOverheadBytes;
  private parsed = 0;
  private content = 0;
  private grant = contentlessBytes;

  static create(): Overhead {
    return new Overhead();
  }

  /** Whether the response has had more overhead than it may have. */
  get isExceeded(): boolean {
    return this.credit < 0;
  }

  /** Bytes that may be parsed before the next call of `record`. */
  get granted(): number {
    return this.grant;
  }

  /** Records the bytes that were parsed so far, and how many of them were content. */
  record(parsed: number, content: number): void {
    const newContent = Math.max(0, content - this.content);
    const overhead = Math.max(0, parsed - this.parsed - newContent);
    const allowed = this.credit + newContent * overheadPerContentByte;
    this.credit = Math.min(maxOverheadBytes, allowed - overhead);
    this.grant = newContent > 0 ? Infinity : contentlessBytes;
    this.parsed = Math.max(this.parsed, parsed);
    this.content = Math.max(this.content, content);
  }

  /** Records that an interim response was parsed. */
  recordInterim(): void {
    this.credit -= interimBytes;
  }
}

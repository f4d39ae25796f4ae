/** Ends an answer at the stop sequences that its caller named. */

/** What may be sent after a token. */
export interface FilterResult {
  readonly text: string;
  /** Whether a stop sequence was met; nothing follows. */
  readonly stopped: boolean;
}

/** Holds back text that may turn out to be the start of a stop sequence. */
export class StopFilter {
  private held = '';

  private constructor(private readonly sequences: readonly string[]) {}

  static create(sequences: readonly string[]): StopFilter {
    return new StopFilter(sequences);
  }

  /** Takes the next token. */
  push(token: string): FilterResult {
    if (this.sequences.length === 0) return { text: token, stopped: false };
    const text = this.held + token;
    const met = this.sequences.map((s) => text.indexOf(s)).filter((at) => at >= 0);
    if (met.length > 0) {
      this.held = '';
      return { text: text.slice(0, Math.min(...met)), stopped: true };
    }
    const keep = Math.max(...this.sequences.map((s) => overlap(text, s)));
    this.held = text.slice(text.length - keep);
    return { text: text.slice(0, text.length - keep), stopped: false };
  }

  /** The text still held back when the answer ends by itself. */
  flush(): string {
    const text = this.held;
    this.held = '';
    return text;
  }
}

/** Length of the longest end of `text` that begins `sequence`. */
function overlap(text: string, sequence: string): number {
  let length = Math.min(text.length, sequence.length - 1);
  while (length > 0 && !sequence.startsWith(text.slice(text.length - length))) length -= 1;
  return length;
}

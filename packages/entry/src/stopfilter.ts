/** Ends an answer before the stop sequences of its request. */

/** The text that can be sent after a token. */
export interface FilterResult {
  readonly text: string;
  /** Whether a stop sequence was found; the answer ends here. */
  readonly stopped: boolean;
}

/** Holds back text that may be the start of a stop sequence, as one may span several tokens. */
export class StopFilter {
  private heldBack = '';

  private constructor(private readonly sequences: readonly string[]) {}

  static create(sequences: readonly string[]): StopFilter {
    return new StopFilter(sequences);
  }

  /** Adds the next token and returns the text that can be sent now. */
  push(token: string): FilterResult {
    if (this.sequences.length === 0) return { text: token, stopped: false };
    const text = this.heldBack + token;
    const found = this.sequences.map((s) => text.indexOf(s)).filter((at) => at >= 0);
    if (found.length > 0) {
      this.heldBack = '';
      return { text: text.slice(0, Math.min(...found)), stopped: true };
    }
    const keptLength = Math.max(...this.sequences.map((s) => overlapLength(text, s)));
    this.heldBack = text.slice(text.length - keptLength);
    return { text: text.slice(0, text.length - keptLength), stopped: false };
  }

  /** Returns the text that is still held back, at the end of an answer without a stop sequence. */
  flush(): string {
    const text = this.heldBack;
    this.heldBack = '';
    return text;
  }
}

/** Length of the longest suffix of `text` that is a proper prefix of `sequence`. */
function overlapLength(text: string, sequence: string): number {
  let length = Math.min(text.length, sequence.length - 1);
  while (length > 0 && !sequence.startsWith(text.slice(text.length - length))) length -= 1;
  return length;
}

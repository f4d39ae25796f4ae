/** What this entry has seen of the parts of prompts: answers, and crashes of upstreams. */

/** Bounds the number of parts that are remembered. */
const maxParts = 8192;

/** Remembers which parts were answered since an upstream last crashed with them. */
export class PartHistory {
  /** Parts in the order of their last answer, without a crash since. */
  private readonly answered = new Set<string>();

  static create(): PartHistory {
    return new PartHistory();
  }

  /** Records that an upstream writes an answer to a prompt with these parts. */
  recordAnswer(parts: readonly string[]): void {
    for (const part of parts) {
      this.answered.delete(part);
      this.answered.add(part);
    }
    for (const part of this.answered) {
      if (this.answered.size <= maxParts) return;
      this.answered.delete(part);
    }
  }

  /** Records a crash; returns the parts that had been answered since the last one. */
  recordCrash(parts: readonly string[]): readonly string[] {
    return parts.filter((part) => this.answered.delete(part));
  }

  /** Whether a part was answered since the last crash. */
  wasAnswered(part: string): boolean {
    return this.answered.has(part);
  }
}

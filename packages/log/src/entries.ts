/** The entries of a log after its snapshot, as held in memory. */

import { invariant } from '@tanagercart/base';
import type { LogEntry } from '@tanagercart/protocol';

/** Bytes that an entry is counted with besides its command. */
const entryOverheadBytes = 32;

/** A run of entries without gaps. */
export class Entries {
  private held: LogEntry[] = [];
  private base = 0;
  private baseTerm: number | undefined = 0;
  private size = 0;

  static create(): Entries {
    return new Entries();
  }

  get first(): number {
    return this.base + 1;
  }

  get last(): number {
    return this.base + this.held.length;
  }

  /** Counted bytes of all entries. */
  get bytes(): number {
    return this.size;
  }

  termAt(index: number): number | undefined {
    if (index === this.base) return this.baseTerm;
    return this.held[index - this.base - 1]?.term;
  }

  slice(from: number, limit: number, bytes: number): readonly LogEntry[] {
    const at = from - this.base - 1;
    if (at < 0) return [];
    const found = this.held.slice(at, at + limit);
    let total = 0;
    const end = found.findIndex((e, i) => {
      total += entryBytes(e);
      return i > 0 && total > bytes;
    });
    return end < 0 ? found : found.slice(0, end);
  }

  /** Appends entries, first cutting off whatever stands at or after the first of them. */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      invariant(entry.index <= this.last + 1, 'the log has no gaps');
      const at = entry.index - this.base - 1;
      invariant(at >= 0, 'the log before the snapshot is never replaced');
      for (const cut of this.held.splice(at)) this.size -= entryBytes(cut);
      this.held.push(entry);
      this.size += entryBytes(entry);
    }
  }

  /** Bytes of the entries from `from` on. */
  bytesFrom(from: number): number {
    return this.held.slice(Math.max(0, from - this.first)).reduce((n, e) => n + entryBytes(e), 0);
  }

  /** Drops entries up to `index`; all of them where the log does not go on from there. */
  rebase(index: number, term: number | undefined): void {
    const known = this.termAt(index);
    const unknown = index === this.base && known === undefined;
    const follows = index >= this.base && (known === term || unknown);
    this.held = follows ? this.held.slice(index - this.base) : [];
    this.base = index;
    this.baseTerm = term;
    this.size = this.held.reduce((sum, e) => sum + entryBytes(e), 0);
  }
}

/** Bytes that an entry is counted with. */
export function entryBytes(entry: LogEntry): number {
  const { payload } = entry;
  return entryOverheadBytes + (payload.kind === 'command' ? payload.bytes.length : 0);
}

/** The log entries that are kept in memory. */

import { invariant } from '@tanagercart/base';
import type { LogEntry } from '@tanagercart/protocol';

/** Bytes counted for an entry in addition to its command; an estimate, not the size on disk. */
const entryOverheadBytes = 32;

/**
 * A contiguous run of entries that follows a base index, which is 0 or the index of the last
 * removed entry.
 */
export class Entries {
  private entries: LogEntry[] = [];
  private baseIndex = 0;
  /** Term of the entry at the base index; undefined if it is not known. */
  private baseTerm: number | undefined = 0;
  private totalBytes = 0;

  static create(): Entries {
    return new Entries();
  }

  get firstIndex(): number {
    return this.baseIndex + 1;
  }

  get lastIndex(): number {
    return this.baseIndex + this.entries.length;
  }

  /** Total size of all entries in bytes; see `entryBytes`. */
  get bytes(): number {
    return this.totalBytes;
  }

  /** The term of the entry at `index`; undefined if it is not known. */
  termAt(index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm;
    return this.entries[index - this.baseIndex - 1]?.term;
  }

  /** Entries from `from` on: at most `limit`, and at most `bytes` unless the first is larger. */
  slice(from: number, limit: number, bytes: number): readonly LogEntry[] {
    const offset = from - this.baseIndex - 1;
    if (offset < 0) return [];
    const found = this.entries.slice(offset, offset + limit);
    let total = 0;
    const end = found.findIndex((e, i) => {
      total += entryBytes(e);
      return i > 0 && total > bytes;
    });
    return end < 0 ? found : found.slice(0, end);
  }

  /** Removes stored entries from the index of `entries[0]` on, then appends `entries`. */
  append(entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      invariant(entry.index <= this.lastIndex + 1, 'the log has no gaps');
      const offset = entry.index - this.baseIndex - 1;
      invariant(offset >= 0, 'entries up to the base index are never overwritten');
      for (const removed of this.entries.splice(offset)) this.totalBytes -= entryBytes(removed);
      this.entries.push(entry);
      this.totalBytes += entryBytes(entry);
    }
  }

  /** Size in bytes of the entries from `from` on. */
  bytesFrom(from: number): number {
    return this.entries
      .slice(Math.max(0, from - this.firstIndex))
      .reduce((n, e) => n + entryBytes(e), 0);
  }

  /**
   * Makes `index` the base index: removes the entries up to it, or all entries if the entry at
   * `index` is not of `term`. The term of the base index may be unknown and then counts as equal.
   */
  resetBase(index: number, term: number | undefined): void {
    const knownTerm = this.termAt(index);
    const baseTermUnknown = index === this.baseIndex && knownTerm === undefined;
    const logContinues = index >= this.baseIndex && (knownTerm === term || baseTermUnknown);
    this.entries = logContinues ? this.entries.slice(index - this.baseIndex) : [];
    this.baseIndex = index;
    this.baseTerm = term;
    this.totalBytes = this.entries.reduce((sum, e) => sum + entryBytes(e), 0);
  }
}

/** Size of one entry in bytes, counted with a fixed overhead; not the size on disk. */
export function entryBytes(entry: LogEntry): number {
  const { payload } = entry;
  return entryOverheadBytes + (payload.kind === 'command' ? payload.bytes.length : 0);
}

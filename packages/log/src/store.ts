/** Where a voter keeps its term, its vote and its log. */

import { ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NodeId } from '@tanagercart/base';
import type { LogEntry } from '@tanagercart/protocol';

/** The term and the vote that must survive a restart. */
export interface HardState {
  readonly term: number;
  readonly vote: NodeId | undefined;
}

/** Why the store cannot write. */
export interface StoreError {
  readonly detail: string;
}

/** Durable storage of one voter. A write has resolved only once it is synced. */
export interface Store {
  readonly hard: HardState;
  /** Index of the last entry; 0 when there is none. */
  readonly lastIndex: number;
  /** The term of the entry at `index`; 0 at index 0; undefined where there is no such entry. */
  termAt(index: number): number | undefined;
  /** Entries from `from` on, at most `limit`. */
  slice(from: number, limit: number): readonly LogEntry[];
  saveHard(hard: HardState): Promise<Result<void, StoreError>>;
  /** Appends entries, first cutting off whatever stands at or after the first of them. */
  append(entries: readonly LogEntry[]): Promise<Result<void, StoreError>>;
}

/** A store that forgets with its process. */
export class MemoryStore implements Store {
  private state: HardState = { term: 0, vote: undefined };
  private readonly entries: LogEntry[] = [];

  static create(): MemoryStore {
    return new MemoryStore();
  }

  get hard(): HardState {
    return this.state;
  }

  get lastIndex(): number {
    return this.entries.length;
  }

  termAt(index: number): number | undefined {
    return index === 0 ? 0 : this.entries[index - 1]?.term;
  }

  slice(from: number, limit: number): readonly LogEntry[] {
    return this.entries.slice(from - 1, from - 1 + limit);
  }

  async saveHard(hard: HardState): Promise<Result<void, StoreError>> {
    this.state = hard;
    return ok(undefined);
  }

  async append(entries: readonly LogEntry[]): Promise<Result<void, StoreError>> {
    const [first] = entries;
    if (!first) return ok(undefined);
    this.entries.splice(first.index - 1, this.entries.length, ...entries);
    return ok(undefined);
  }
}

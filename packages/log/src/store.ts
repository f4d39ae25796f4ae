/** Interface of the durable storage of one node. */

import type { Result } from 'neverthrow';
import type { NodeId } from '@tanagercart/base';
import type { LogEntry, VoterConfig } from '@tanagercart/protocol';

/** The current term and the vote given in it, which must survive a restart. */
export interface HardState {
  readonly term: number;
  readonly vote: NodeId | undefined;
}

/** The state after the entry at `index`; it replaces the log up to there. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  /** The voter set in use at `index`. */
  readonly config: VoterConfig;
  /** State of the state machine, as returned by `StateMachine.snapshot`. */
  readonly data: Uint8Array;
}

/** Why the store could not be read or written; `detail` names the file. */
export interface StoreError {
  readonly detail: string;
}

/** Durable storage of term, vote, log and snapshot. A write resolves only once it is synced. */
export interface Store {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Identifier of the data folder, generated when it was empty. A copy gets another one. */
  readonly diskId: string;
  /** Index of the first entry that is still stored. */
  readonly firstIndex: number;
  /** Index of the last entry; if none is stored, the index of the snapshot, or 0 without one. */
  readonly lastIndex: number;
  /** Total size of the stored entries in bytes, counted with a fixed overhead for each. */
  readonly totalBytes: number;
  /** Size in bytes of the entries from `from` on. */
  bytesFrom(from: number): number;
  /** The term of the entry at `index`; 0 at index 0; undefined if it is not known. */
  termAt(index: number): number | undefined;
  /**
   * Entries from `from` on: at most `limit`, and at most `bytes` in total, except that the first
   * entry is always included.
   */
  slice(from: number, limit: number, bytes: number): readonly LogEntry[];
  /** Saves the term and the vote given in it, if any. */
  saveTerm(hardState: HardState): Promise<Result<void, StoreError>>;
  /** Removes stored entries from the index of `entries[0]` on, then appends `entries`. */
  append(entries: readonly LogEntry[]): Promise<Result<void, StoreError>>;
  /**
   * Saves a snapshot and removes the entries before `keepFrom`, or all entries if the log has no
   * entry with the snapshot's index and term.
   */
  saveSnapshot(snapshot: Snapshot, keepFrom: number): Promise<Result<void, StoreError>>;
}

/** Where a voter keeps its term, its vote, its log and its snapshot. */

import type { Result } from 'neverthrow';
import type { NodeId } from '@tanagercart/base';
import type { LogEntry, VoterConfig } from '@tanagercart/protocol';

/** The term and the vote that must survive a restart. */
export interface HardState {
  readonly term: number;
  readonly vote: NodeId | undefined;
}

/** The state after `index`, which replaces the log up to there. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly config: VoterConfig;
  readonly data: Uint8Array;
}

/** Why the store cannot read or write. */
export interface StoreError {
  readonly detail: string;
}

/** Durable storage of one voter. A write has resolved only once it is synced. */
export interface Store {
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Names this folder's content: drawn when the folder was empty, and kept ever after. */
  readonly diskId: string;
  /** Index of the first entry that is still held. */
  readonly firstIndex: number;
  /** Index of the last entry; 0 when there is none. */
  readonly lastIndex: number;
  /** Encoded bytes of the entries that are held. */
  readonly entryBytes: number;
  /** Encoded bytes of the entries from `from` on. */
  bytesFrom(from: number): number;
  /** The term of the entry at `index`; 0 at index 0; undefined where it is not held. */
  termAt(index: number): number | undefined;
  /** Entries from `from` on: at most `limit`, and `bytes` unless the first is larger. */
  slice(from: number, limit: number, bytes: number): readonly LogEntry[];
  saveVote(hard: HardState): Promise<Result<void, StoreError>>;
  /** Appends entries, first cutting off whatever stands at or after the first of them. */
  append(entries: readonly LogEntry[]): Promise<Result<void, StoreError>>;
  /** Keeps a snapshot and drops the entries before `keepFrom`; all where the log does not match it. */
  saveSnapshot(snapshot: Snapshot, keepFrom: number): Promise<Result<void, StoreError>>;
}

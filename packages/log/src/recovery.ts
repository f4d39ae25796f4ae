/** Recovery: reads the snapshot and the log segments from the data folder after a restart. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Logger } from '@tanagercart/base';
import { decode } from '@tanagercart/protocol';
import type { LogEntry } from '@tanagercart/protocol';
import type { Disk } from './disk.js';
import { Entries } from './entries.js';
import { fileHeaderBytes, readFileHeader, readRecord } from './record.js';
import { damageError, readRecordFile, storeError } from './recordfile.js';
import type { HardState, Snapshot, StoreError } from './store.js';

/** Digits of the number in a file name, zero-padded so that names sort in numeric order. */
const nameDigits = 16;

/** One record of a segment. */
export type LogRecord =
  /** First record of each segment: the hard state when the segment was started. */
  | { readonly kind: 'head'; readonly hard: HardState }
  /** A later hard state, which replaces the earlier one. */
  | { readonly kind: 'hard'; readonly hard: HardState }
  | { readonly kind: 'entry'; readonly entry: LogEntry }
  /** The log continues after this index; a snapshot covers the entries up to and including it. */
  | { readonly kind: 'base'; readonly index: number; readonly term: number };

/** One file of the log, named `log-` and its number. */
export interface Segment {
  readonly number: number;
  bytes: number;
  /**
   * Highest index written to this segment; the segment is removed once the log starts after this
   * index.
   */
  lastIndex: number;
}

/** Content of a data folder. */
export interface LoadedFolder {
  readonly entries: Entries;
  readonly segments: Segment[];
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Whether the snapshot replaces the log, as the log lacks the snapshot's last entry. */
  readonly logReplaced: boolean;
}

/** What has been read from the segments so far. */
interface LoadProgress {
  readonly entries: Entries;
  readonly segments: Segment[];
  hardState: HardState;
}

/** File name of the segment with number `n`. */
export const segmentName = (n: number) => `log-${String(n).padStart(nameDigits, '0')}`;

/** File name of the snapshot at index `n`. */
export const snapshotName = (n: number) => `snapshot-${String(n).padStart(nameDigits, '0')}`;

/** Reads snapshot and segments. Truncates a torn tail; any other damage is an error. */
export async function loadFolder(
  disk: Disk,
  logger: Logger,
): Promise<Result<LoadedFolder, StoreError>> {
  const listed = await disk.list();
  if (listed.isErr()) return err(storeError(listed.error));
  const names = [...listed.value].sort();
  const loaded = await loadSnapshot(disk, names);
  if (loaded.isErr()) return err(loaded.error);
  const progress: LoadProgress = {
    entries: Entries.create(),
    segments: [],
    hardState: { term: 0, vote: undefined },
  };
  const files = names.filter((n) => n.startsWith('log-'));
  const snapshot = loaded.value;
  for (const [i, file] of files.entries()) {
    const isLast = i === files.length - 1;
    const read = await loadSegment(disk, file, isLast, snapshot, progress, logger);
    if (read.isErr()) return err(read.error);
  }
  if (progress.segments.length === 0 && (snapshot !== undefined || names.includes('disk'))) {
    return err({ detail: `${segmentName(1)}: offset 0: the files of the log are missing` });
  }
  const logReplaced =
    snapshot !== undefined && progress.entries.termAt(snapshot.index) !== snapshot.term;
  if (snapshot && logReplaced) progress.entries.resetBase(snapshot.index, snapshot.term);
  return ok({ ...progress, snapshot, logReplaced });
}

async function loadSnapshot(
  disk: Disk,
  names: readonly string[],
): Promise<Result<Snapshot | undefined, StoreError>> {
  const file = names.filter((n) => n.startsWith('snapshot-') && !n.endsWith('.new')).at(-1);
  if (!file) return ok(undefined);
  return readRecordFile<Snapshot>(disk, file);
}

async function loadSegment(
  disk: Disk,
  file: string,
  isLast: boolean,
  snapshot: Snapshot | undefined,
  progress: LoadProgress,
  logger: Logger,
): Promise<Result<void, StoreError>> {
  const number = Number(file.slice('log-'.length));
  const previous = progress.segments.at(-1);
  if (previous && number !== previous.number + 1) {
    return err({ detail: `${segmentName(previous.number + 1)}: offset 0: the file is missing` });
  }
  const bytes = await disk.read(file);
  if (bytes.isErr()) return err({ detail: `${file}: ${bytes.error.detail}` });
  const segment: Segment = { number, bytes: 0, lastIndex: 0 };
  let record = readFileHeader(bytes.value);
  while (record.kind === 'record') {
    if (segment.bytes > 0) {
      const applied = applyRecord(progress, segment, snapshot, decode<LogRecord>(record.body));
      if (!applied) return err({ detail: `${file}: offset ${segment.bytes}: gap in the log` });
    }
    segment.bytes = record.next;
    record = readRecord(bytes.value, segment.bytes);
  }
  const finished = await finishSegment(disk, file, isLast, segment, record, logger);
  if (finished.isErr()) return finished;
  if (segment.bytes > 0) progress.segments.push(segment);
  return ok(undefined);
}

/**
 * Handles the end of a segment. An interrupted write is removed, if this is the last segment. What a
 * process wrote before it ended, or failed, may not have been synced; it is, before it counts as
 * stored.
 */
async function finishSegment(
  disk: Disk,
  file: string,
  isLast: boolean,
  segment: Segment,
  found: ReturnType<typeof readRecord>,
  logger: Logger,
): Promise<Result<void, StoreError>> {
  if (found.kind === 'end') return isLast ? syncSegment(disk, file) : ok(undefined);
  if (found.kind !== 'torn' || !isLast) return damageError(file, segment.bytes, found);
  logger.warn('Cutting off an interrupted write.', { file, offset: segment.bytes });
  const lacksHeadRecord = segment.bytes <= fileHeaderBytes;
  const cut = lacksHeadRecord ? disk.remove(file) : disk.truncate(file, segment.bytes);
  if (lacksHeadRecord) segment.bytes = 0;
  const done = await cut.andThen(() => (lacksHeadRecord ? disk.syncFolder() : disk.sync(file)));
  return done.mapErr((e) => ({ detail: `${file}: ${e.detail}` }));
}

async function syncSegment(disk: Disk, file: string): Promise<Result<void, StoreError>> {
  return disk
    .sync(file)
    .andThen(() => disk.syncFolder())
    .mapErr(storeError);
}

/** Applies a record to what has been read so far; returns false if there is a gap before it. */
function applyRecord(
  progress: LoadProgress,
  segment: Segment,
  snapshot: Snapshot | undefined,
  record: LogRecord,
): boolean {
  switch (record.kind) {
    case 'head':
      progress.hardState = record.hard;
      return true;
    case 'hard':
      progress.hardState = record.hard;
      return true;
    case 'base':
      applyBase(progress.entries, record.index, record.term);
      return true;
    case 'entry':
      segment.lastIndex = Math.max(segment.lastIndex, record.entry.index);
      return applyEntry(progress.entries, snapshot, record.entry);
    default:
      return false;
  }
}

/** Applies a `base` record, unless it precedes the entries in memory: a later one replaced it. */
function applyBase(entries: Entries, index: number, term: number): void {
  const older = entries.lastIndex >= entries.firstIndex && index < entries.firstIndex - 1;
  if (!older) entries.resetBase(index, term);
}

/** Appends an entry. Old segments are removed, so there may be a gap that the snapshot covers. */
function applyEntry(entries: Entries, snapshot: Snapshot | undefined, entry: LogEntry): boolean {
  if (entry.index > entries.lastIndex + 1 || entry.index < entries.firstIndex) {
    if (!snapshot || entry.index > snapshot.index + 1) return false;
    entries.resetBase(
      entry.index - 1,
      entry.index === snapshot.index + 1 ? snapshot.term : undefined,
    );
  }
  entries.append([entry]);
  return true;
}

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

/** Digits of the number in a file name. */
const nameDigits = 16;

/** One record of a segment. */
export type LogRecord =
  /** The hard state at the start of the segment. */
  | { readonly kind: 'head'; readonly hard: HardState }
  | { readonly kind: 'hard'; readonly hard: HardState }
  | { readonly kind: 'entry'; readonly entry: LogEntry }
  /** The log continues after this index; earlier entries are covered by a snapshot. */
  | { readonly kind: 'base'; readonly index: number; readonly term: number };

/** One file of the log, named `log-` and its number. */
export interface Segment {
  readonly number: number;
  bytes: number;
  /** Highest index that was written to it; it is removed once the log starts after this index. */
  lastIndex: number;
}

/** Content of a data folder. */
export interface LoadedFolder {
  readonly entries: Entries;
  readonly segments: Segment[];
  readonly hardState: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Whether the snapshot replaces the log, which does not contain its last entry. */
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
  const snapshot = await loadSnapshot(disk, names);
  if (snapshot.isErr()) return err(snapshot.error);
  const progress: LoadProgress = {
    entries: Entries.create(),
    segments: [],
    hardState: { term: 0, vote: undefined },
  };
  const files = names.filter((n) => n.startsWith('log-'));
  const base = snapshot.value;
  for (const [i, file] of files.entries()) {
    const isLast = i === files.length - 1;
    const read = await loadSegment(disk, file, isLast, base, progress, logger);
    if (read.isErr()) return err(read.error);
  }
  if (progress.segments.length === 0 && (base !== undefined || names.includes('disk'))) {
    return err({ detail: `${segmentName(1)}: offset 0: the files of the log are missing` });
  }
  const logReplaced = base !== undefined && progress.entries.termAt(base.index) !== base.term;
  if (base && logReplaced) progress.entries.resetBase(base.index, base.term);
  return ok({ ...progress, snapshot: base, logReplaced });
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
  base: Snapshot | undefined,
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
      const applied = applyRecord(progress, segment, base, decode<LogRecord>(record.body));
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

/** Handles the end of a segment. An interrupted write is removed, if this is the last segment. */
async function finishSegment(
  disk: Disk,
  file: string,
  isLast: boolean,
  segment: Segment,
  found: ReturnType<typeof readRecord>,
  logger: Logger,
): Promise<Result<void, StoreError>> {
  if (found.kind === 'end') return ok(undefined);
  if (found.kind !== 'torn' || !isLast) return damageError(file, segment.bytes, found);
  logger.warn('Cutting off an interrupted write.', { file, offset: segment.bytes });
  const lacksHeadRecord = segment.bytes <= fileHeaderBytes;
  const cut = lacksHeadRecord ? disk.remove(file) : disk.truncate(file, segment.bytes);
  if (lacksHeadRecord) segment.bytes = 0;
  const done = await cut.andThen(() => (lacksHeadRecord ? disk.syncFolder() : disk.sync(file)));
  return done.mapErr((e) => ({ detail: `${file}: ${e.detail}` }));
}

/** Applies a record to what has been read so far; returns false if there is a gap before it. */
function applyRecord(
  progress: LoadProgress,
  segment: Segment,
  base: Snapshot | undefined,
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
      return applyEntry(progress.entries, base, record.entry);
    default:
      return false;
  }
}

/** Applies a base, unless it precedes the entries in memory: then a later base has replaced it. */
function applyBase(entries: Entries, index: number, term: number): void {
  const older = entries.lastIndex >= entries.firstIndex && index < entries.firstIndex - 1;
  if (!older) entries.resetBase(index, term);
}

/** Appends an entry. Old segments are removed, so there may be a gap that the snapshot covers. */
function applyEntry(entries: Entries, base: Snapshot | undefined, entry: LogEntry): boolean {
  if (entry.index > entries.lastIndex + 1 || entry.index < entries.firstIndex) {
    if (!base || entry.index > base.index + 1) return false;
    entries.resetBase(entry.index - 1, entry.index === base.index + 1 ? base.term : undefined);
  }
  entries.append([entry]);
  return true;
}

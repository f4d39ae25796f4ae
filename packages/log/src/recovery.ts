/** Reads a voter's folder after a restart. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Logger } from '@tanagercart/base';
import { decode } from '@tanagercart/protocol';
import type { LogEntry } from '@tanagercart/protocol';
import type { Disk } from './disk.js';
import { Entries } from './entries.js';
import { fileHeaderBytes, readFileHeader, readRecord } from './record.js';
import { damaged, readRecordFile, storeError } from './recordfile.js';
import type { HardState, Snapshot, StoreError } from './store.js';

/** Digits of the number in a file's name. */
const nameDigits = 16;

/** One record of a segment. */
export type LogRecord =
  | { readonly kind: 'head'; readonly hard: HardState }
  | { readonly kind: 'hard'; readonly hard: HardState }
  | { readonly kind: 'entry'; readonly entry: LogEntry }
  /** The log goes on from a snapshot. */
  | { readonly kind: 'base'; readonly index: number; readonly term: number };

/** One file of the log. */
export interface Segment {
  readonly number: number;
  bytes: number;
  /** Highest index that it has ever held. */
  lastIndex: number;
}

/** What a folder holds. */
export interface Folder {
  readonly entries: Entries;
  readonly segments: Segment[];
  readonly hard: HardState;
  readonly snapshot: Snapshot | undefined;
  /** Whether a snapshot replaced a log that did not lead up to it. */
  readonly reset: boolean;
}

interface Draft {
  readonly entries: Entries;
  readonly segments: Segment[];
  hard: HardState;
}

export const segmentName = (n: number) => `log-${String(n).padStart(nameDigits, '0')}`;
export const snapshotName = (n: number) => `snapshot-${String(n).padStart(nameDigits, '0')}`;

/** Reads snapshot and segments; cuts a torn tail, and reports any other damage. */
export async function loadFolder(disk: Disk, logger: Logger): Promise<Result<Folder, StoreError>> {
  const listed = await disk.list();
  if (listed.isErr()) return err(storeError(listed.error));
  const names = [...listed.value].sort();
  const snapshot = await loadSnapshot(disk, names);
  if (snapshot.isErr()) return err(snapshot.error);
  const draft: Draft = {
    entries: Entries.create(),
    segments: [],
    hard: { term: 0, vote: undefined },
  };
  const files = names.filter((n) => n.startsWith('log-'));
  const base = snapshot.value;
  for (const [i, file] of files.entries()) {
    const last = i === files.length - 1;
    const read = await loadSegment(disk, file, last, base, draft, logger);
    if (read.isErr()) return err(read.error);
  }
  if (draft.segments.length === 0 && (base !== undefined || names.includes('disk'))) {
    return err({ detail: `${segmentName(1)}: offset 0: the files of the log are missing` });
  }
  const reset = base !== undefined && draft.entries.termAt(base.index) !== base.term;
  if (base && reset) draft.entries.rebase(base.index, base.term);
  return ok({ ...draft, snapshot: base, reset });
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
  last: boolean,
  base: Snapshot | undefined,
  draft: Draft,
  logger: Logger,
): Promise<Result<void, StoreError>> {
  const number = Number(file.slice('log-'.length));
  const before = draft.segments.at(-1);
  if (before && number !== before.number + 1) {
    return err({ detail: `${segmentName(before.number + 1)}: offset 0: the file is missing` });
  }
  const bytes = await disk.read(file);
  if (bytes.isErr()) return err({ detail: `${file}: ${bytes.error.detail}` });
  const segment: Segment = { number, bytes: 0, lastIndex: 0 };
  let record = readFileHeader(bytes.value);
  while (record.kind === 'record') {
    if (segment.bytes > 0) {
      const taken = takeRecord(draft, segment, base, decode<LogRecord>(record.body));
      if (!taken) return err({ detail: `${file}: offset ${segment.bytes}: gap in the log` });
    }
    segment.bytes = record.next;
    record = readRecord(bytes.value, segment.bytes);
  }
  const stop = await endSegment(disk, file, last, segment, record, logger);
  if (stop.isErr()) return stop;
  if (segment.bytes > 0) draft.segments.push(segment);
  return ok(undefined);
}

/** Handles what ends a segment: its end, an interrupted write, or damage. */
async function endSegment(
  disk: Disk,
  file: string,
  last: boolean,
  segment: Segment,
  found: ReturnType<typeof readRecord>,
  logger: Logger,
): Promise<Result<void, StoreError>> {
  if (found.kind === 'end') return ok(undefined);
  if (found.kind !== 'torn' || !last) return damaged(file, segment.bytes, found);
  logger.warn('Cutting off an interrupted write.', { file, offset: segment.bytes });
  const headless = segment.bytes <= fileHeaderBytes;
  const cut = headless ? disk.remove(file) : disk.truncate(file, segment.bytes);
  if (headless) segment.bytes = 0;
  const done = await cut.andThen(() => (headless ? disk.syncFolder() : disk.sync(file)));
  return done.mapErr((e) => ({ detail: `${file}: ${e.detail}` }));
}

function takeRecord(
  draft: Draft,
  segment: Segment,
  base: Snapshot | undefined,
  record: LogRecord,
): boolean {
  switch (record.kind) {
    case 'head':
      draft.hard = record.hard;
      return true;
    case 'hard':
      draft.hard = record.hard;
      return true;
    case 'base':
      takeBase(draft.entries, record.index, record.term);
      return true;
    case 'entry':
      segment.lastIndex = Math.max(segment.lastIndex, record.entry.index);
      return takeEntry(draft.entries, base, record.entry);
    default:
      return false;
  }
}

/** A base from before the entries that are held was followed by a later one. */
function takeBase(entries: Entries, index: number, term: number): void {
  const older = entries.last >= entries.first && index < entries.first - 1;
  if (!older) entries.rebase(index, term);
}

/** Entries that a snapshot replaced may have gaps before them, since old segments are removed. */
function takeEntry(entries: Entries, base: Snapshot | undefined, entry: LogEntry): boolean {
  if (entry.index > entries.last + 1 || entry.index < entries.first) {
    if (!base || entry.index > base.index + 1) return false;
    entries.rebase(entry.index - 1, entry.index === base.index + 1 ? base.term : undefined);
  }
  entries.append([entry]);
  return true;
}

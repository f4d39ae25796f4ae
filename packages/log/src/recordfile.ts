/** Files that hold one record, written whole: either the earlier content is found, or all of the new one. */

import { err, ok } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import { decode, encode } from '@tanagercart/protocol';
import type { Disk, DiskError } from './disk.js';
import { encodeRecord, fileHeader, readFileHeader, readRecord } from './record.js';
import type { ReadRecord } from './record.js';
import type { StoreError } from './store.js';

/** Writes a value as the only record of a file, and makes it durable. */
export function writeRecordFile(
  disk: Disk,
  file: string,
  value: unknown,
): ResultAsync<void, DiskError> {
  const draft = `${file}.new`;
  return disk
    .write(draft, 0, Buffer.concat([fileHeader(), encodeRecord(encode(value))]))
    .andThen(() => disk.sync(draft))
    .andThen(() => disk.rename(draft, file))
    .andThen(() => disk.syncFolder());
}

/** The value in a file of one record; the error tells where it is damaged. */
export async function readRecordFile<T>(disk: Disk, file: string): Promise<Result<T, StoreError>> {
  const bytes = await disk.read(file);
  if (bytes.isErr()) return err({ detail: `${file}: ${bytes.error.detail}` });
  const header = readFileHeader(bytes.value);
  if (header.kind !== 'record') return damaged(file, 0, header);
  const record = readRecord(bytes.value, header.next);
  if (record.kind !== 'record') return damaged(file, header.next, record);
  return ok(decode<T>(record.body));
}

/** What a failed disk tells as the error of a store. */
export function storeError(error: DiskError): StoreError {
  return { detail: `${error.file}: ${error.detail}` };
}

/** Tells where a file is damaged. */
export function damaged(
  file: string,
  offset: number,
  found: ReadRecord,
): Result<never, StoreError> {
  const detail = found.kind === 'damaged' ? found.detail : 'the file is cut short';
  return err({ detail: `${file}: offset ${offset}: ${detail}` });
}

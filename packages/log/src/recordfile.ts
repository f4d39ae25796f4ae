/** Files that contain one record and are replaced atomically by a rename. */

import { err, ok } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import { decode, encode } from '@tanagercart/protocol';
import type { Disk, DiskError } from './disk.js';
import { encodeRecord, fileHeader, readFileHeader, readRecord } from './record.js';
import type { ReadOutcome } from './record.js';
import type { StoreError } from './store.js';

/** Replaces the content of a file by one record that contains `value`, and makes it durable. */
export function writeRecordFile(
  disk: Disk,
  file: string,
  value: unknown,
): ResultAsync<void, DiskError> {
  const temporaryFile = `${file}.new`;
  return disk
    .write(temporaryFile, 0, Buffer.concat([fileHeader(), encodeRecord(encode(value))]))
    .andThen(() => disk.sync(temporaryFile))
    .andThen(() => disk.rename(temporaryFile, file))
    .andThen(() => disk.syncFolder());
}

/** Reads the value from a file of one record; the error contains the offset of any damage. */
export async function readRecordFile<T>(disk: Disk, file: string): Promise<Result<T, StoreError>> {
  const bytes = await disk.read(file);
  if (bytes.isErr()) return err({ detail: `${file}: ${bytes.error.detail}` });
  const header = readFileHeader(bytes.value);
  if (header.kind !== 'record') return damageError(file, 0, header);
  const record = readRecord(bytes.value, header.next);
  if (record.kind !== 'record') return damageError(file, header.next, record);
  return ok(decode<T>(record.body));
}

/** Converts the error of a disk into the error of a store. */
export function storeError(error: DiskError): StoreError {
  return { detail: `${error.file}: ${error.detail}` };
}

/** Error for a file whose record at `offset` cannot be read. */
export function damageError(
  file: string,
  offset: number,
  found: ReadOutcome,
): Result<never, StoreError> {
  const detail = found.kind === 'damaged' ? found.detail : 'the file is truncated';
  return err({ detail: `${file}: offset ${offset}: ${detail}` });
}

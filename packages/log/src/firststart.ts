/**
 * Remembers on the disk that this is the first start of all, and with whom. Whoever is to form the
 * log may end before it did so, and starts again when nobody says any more that it is the first time.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NodeId } from '@tanagercart/base';
import { decode, encode } from '@tanagercart/protocol';
import type { Disk, DiskError } from './disk.js';
import { encodeRecord, fileHeader, readFileHeader, readRecord } from './record.js';
import type { StoreError } from './store.js';

/** Holds the nodes that form the log. */
const file = 'first';

/** The nodes that form the log: those given, or those that were given to this disk before. */
export async function rememberInitial(
  disk: Disk,
  initial: readonly NodeId[],
): Promise<Result<readonly NodeId[], StoreError>> {
  const names = await disk.list();
  if (names.isErr()) return err(storeError(names.error));
  if (names.value.includes(file)) return readInitial(disk);
  if (initial.length === 0) return ok([]);
  const bytes = Buffer.concat([fileHeader(), encodeRecord(encode(initial))]);
  const draft = `${file}.new`;
  const written = await disk
    .write(draft, 0, bytes)
    .andThen(() => disk.sync(draft))
    .andThen(() => disk.rename(draft, file))
    .andThen(() => disk.syncFolder());
  return written.map(() => initial).mapErr(storeError);
}

async function readInitial(disk: Disk): Promise<Result<readonly NodeId[], StoreError>> {
  const bytes = await disk.read(file);
  if (bytes.isErr()) return err(storeError(bytes.error));
  const header = readFileHeader(bytes.value);
  const record = header.kind === 'record' ? readRecord(bytes.value, header.next) : header;
  if (record.kind === 'record') return ok(decode<readonly NodeId[]>(record.body));
  return err({ detail: `${file}: damaged` });
}

function storeError(error: DiskError): StoreError {
  return { detail: `${error.file}: ${error.detail}` };
}

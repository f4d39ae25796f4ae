/**
 * Remembers on the disk that this is the first start of all, and with whom. Whoever is to form the
 * log may end before it did so, and starts again when nobody says any more that it is the first time.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NodeId } from '@tanagercart/base';
import type { Disk } from './disk.js';
import { readRecordFile, storeError, writeRecordFile } from './recordfile.js';
import type { StoreError } from './store.js';

/** Holds the nodes that form the log. */
const file = 'first';

/** The nodes that form the log: those given, or those that were given to this disk before. */
export async function resolveInitialVoters(
  disk: Disk,
  initial: readonly NodeId[],
): Promise<Result<readonly NodeId[], StoreError>> {
  const names = await disk.list();
  if (names.isErr()) return err(storeError(names.error));
  if (names.value.includes(file)) return readRecordFile<readonly NodeId[]>(disk, file);
  if (initial.length === 0) return ok([]);
  const written = await writeRecordFile(disk, file, initial);
  return written.map(() => initial).mapErr(storeError);
}

/**
 * Stores the initial voters on the disk. The node that is to form the log may stop before it has
 * done so, and may be started again without the setting that lists them.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { NodeId } from '@tanagercart/base';
import type { Disk } from './disk.js';
import { readRecordFile, storeError, writeRecordFile } from './recordfile.js';
import type { StoreError } from './store.js';

/** File that contains the identifiers of the initial voters. */
const fileName = 'first';

/** The initial voters stored on this disk; if there are none, stores and returns `initial`. */
export async function loadOrStoreInitialVoters(
  disk: Disk,
  initial: readonly NodeId[],
): Promise<Result<readonly NodeId[], StoreError>> {
  const names = await disk.list();
  if (names.isErr()) return err(storeError(names.error));
  if (names.value.includes(fileName)) return readRecordFile<readonly NodeId[]>(disk, fileName);
  if (initial.length === 0) return ok([]);
  const written = await writeRecordFile(disk, fileName, initial);
  return written.map(() => initial).mapErr(storeError);
}

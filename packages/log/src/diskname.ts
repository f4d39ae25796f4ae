/** Names the content of a voter's folder, so that an empty or copied folder is told from the original. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Logger, Random } from '@tanagercart/base';
import type { Disk } from './disk.js';
import { fileHeader } from './record.js';
import { readRecordFile, storeError, writeRecordFile } from './recordfile.js';
import type { StoreError } from './store.js';

/** Holds the name and the fingerprint of `mark`. */
const nameFile = 'disk';

/** A file that is written once: a copy of the folder has another in its place. */
const markFile = 'mark';

/** Letters of a name. */
const nameLetters = 16;

interface Named {
  readonly name: string;
  readonly fingerprint: string;
}

/**
 * The folder's name. An empty folder gets a new one, and so does one whose `mark` is not the file
 * that was written with the name: the folder is a copy, and may be older than the original was.
 */
export async function nameOf(
  disk: Disk,
  random: Random,
  logger: Logger,
): Promise<Result<string, StoreError>> {
  const known = await readName(disk);
  if (known.isErr()) return err(known.error);
  if (known.value) {
    const found = await disk.fingerprint(markFile);
    if (found.isOk() && found.value === known.value.fingerprint) return ok(known.value.name);
    logger.warn('The data folder is a copy: it has to be added as a new voter.', {
      was: known.value.name,
    });
  }
  return writeName(disk, drawName(random));
}

async function readName(disk: Disk): Promise<Result<Named | undefined, StoreError>> {
  const names = await disk.list();
  if (names.isErr()) return err(storeError(names.error));
  if (!names.value.includes(nameFile)) return ok(undefined);
  return readRecordFile<Named>(disk, nameFile);
}

async function writeName(disk: Disk, name: string): Promise<Result<string, StoreError>> {
  const fresh = `${markFile}.new`;
  const marked = await disk
    .write(fresh, 0, fileHeader())
    .andThen(() => disk.sync(fresh))
    .andThen(() => disk.rename(fresh, markFile))
    .andThen(() => disk.fingerprint(markFile));
  if (marked.isErr()) return err(storeError(marked.error));
  const named: Named = { name, fingerprint: marked.value };
  const saved = await writeRecordFile(disk, nameFile, named);
  return saved.map(() => name).mapErr(storeError);
}

function drawName(random: Random): string {
  const letter = () => Math.floor(random.next() * 36).toString(36);
  return Array.from({ length: nameLetters }, letter).join('');
}

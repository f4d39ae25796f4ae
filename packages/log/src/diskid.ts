/** Gives a data folder an identifier, so that an empty or copied folder is detected. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Logger, Random } from '@tanagercart/base';
import type { Disk } from './disk.js';
import { fileHeader } from './record.js';
import { readRecordFile, storeError, writeRecordFile } from './recordfile.js';
import type { StoreError } from './store.js';

/** File that contains the identifier, and the identity of `mark` as `fingerprint`. */
const idFile = 'disk';

/** File that is created with the identifier; in a copied folder it has another identity. */
const markFile = 'mark';

/** Number of characters of an identifier; each is a random digit or lower-case letter. */
const idLength = 16;

/** Content of the file `disk`. */
interface DiskIdentity {
  readonly name: string;
  readonly fingerprint: string;
}

/**
 * Reads the folder's identifier. An empty folder gets a new one, and so does a folder whose `mark`
 * is not the file that was created with the identifier. Such a folder is a copy, which may be older
 * than the original and lack entries or votes of it.
 */
export async function loadDiskId(
  disk: Disk,
  random: Random,
  logger: Logger,
): Promise<Result<string, StoreError>> {
  const known = await readIdentity(disk);
  if (known.isErr()) return err(known.error);
  if (known.value) {
    const found = await disk.fileIdentity(markFile);
    if (found.isOk() && found.value === known.value.fingerprint) return ok(known.value.name);
    logger.warn('The data folder is a copy: it has to be added as a new voter.', {
      was: known.value.name,
    });
  }
  return writeIdentity(disk, generateDiskId(random));
}

async function readIdentity(disk: Disk): Promise<Result<DiskIdentity | undefined, StoreError>> {
  const names = await disk.list();
  if (names.isErr()) return err(storeError(names.error));
  if (!names.value.includes(idFile)) return ok(undefined);
  return readRecordFile<DiskIdentity>(disk, idFile);
}

async function writeIdentity(disk: Disk, diskId: string): Promise<Result<string, StoreError>> {
  const temporaryFile = `${markFile}.new`;
  const created = await disk
    .write(temporaryFile, 0, fileHeader())
    .andThen(() => disk.sync(temporaryFile))
    .andThen(() => disk.rename(temporaryFile, markFile))
    .andThen(() => disk.fileIdentity(markFile));
  if (created.isErr()) return err(storeError(created.error));
  const identity: DiskIdentity = { name: diskId, fingerprint: created.value };
  const saved = await writeRecordFile(disk, idFile, identity);
  return saved.map(() => diskId).mapErr(storeError);
}

function generateDiskId(random: Random): string {
  const randomCharacter = () => Math.floor(random.next() * 36).toString(36);
  return Array.from({ length: idLength }, randomCharacter).join('');
}

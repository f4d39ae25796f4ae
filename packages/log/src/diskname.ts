/** Names the content of a voter's folder, so that an empty or copied folder is told from the original. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Logger, Random } from '@tanagercart/base';
import { decode, encode } from '@tanagercart/protocol';
import type { Disk } from './disk.js';
import { encodeRecord, fileHeader, readFileHeader, readRecord } from './record.js';
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
  if (names.isErr()) return err({ detail: `${names.error.file}: ${names.error.detail}` });
  if (!names.value.includes(nameFile)) return ok(undefined);
  const bytes = await disk.read(nameFile);
  if (bytes.isErr()) return err({ detail: `${nameFile}: ${bytes.error.detail}` });
  const header = readFileHeader(bytes.value);
  const record = header.kind === 'record' ? readRecord(bytes.value, header.next) : header;
  if (record.kind === 'record') return ok(decode<Named>(record.body));
  const offset = header.kind === 'record' ? header.next : 0;
  return err({ detail: `${nameFile}: offset ${offset}: damaged` });
}

async function writeName(disk: Disk, name: string): Promise<Result<string, StoreError>> {
  const fresh = `${markFile}.new`;
  const marked = await disk
    .write(fresh, 0, fileHeader())
    .andThen(() => disk.sync(fresh))
    .andThen(() => disk.rename(fresh, markFile))
    .andThen(() => disk.fingerprint(markFile));
  if (marked.isErr()) return err({ detail: `${marked.error.file}: ${marked.error.detail}` });
  const named: Named = { name, fingerprint: marked.value };
  const draft = `${nameFile}.new`;
  const saved = await disk
    .write(draft, 0, Buffer.concat([fileHeader(), encodeRecord(encode(named))]))
    .andThen(() => disk.sync(draft))
    .andThen(() => disk.rename(draft, nameFile))
    .andThen(() => disk.syncFolder());
  return saved.map(() => name).mapErr((e) => ({ detail: `${e.file}: ${e.detail}` }));
}

function drawName(random: Random): string {
  const letter = () => Math.floor(random.next() * 36).toString(36);
  return Array.from({ length: nameLetters }, letter).join('');
}

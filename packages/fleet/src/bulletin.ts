/**
 * Caches the encoded bulletin, the part of the leader's replies that is the same for all entries.
 * Used when many entries call the leader at the same time: the bulletin is built and encoded once
 * for all of them instead of once for each.
 */

import type { Clock, Millis } from '@tanagercart/base';
import { decode, encode } from '@tanagercart/protocol';
import type {
  Bulletin,
  CompactBulletin,
  EntryRecord,
  LoadRow,
  UpstreamLoad,
} from '@tanagercart/protocol';

/** The bulletin is rebuilt after this time, even if the revision has not changed. */
const minAgeMs: Millis = 40;

/**
 * The same in a large fleet, for each entry in it: a round of replies takes longer there, and each
 * rebuilding too.
 */
const ageMsPerEntry: Millis = 1;

export interface BulletinCacheOptions {
  readonly clock: Clock;
  /** A number that changes when entries should receive a new bulletin without delay. */
  readonly revision: () => number;
  /** Number of entries that receive the bulletin. */
  readonly entryCount: () => number;
  readonly build: () => Bulletin | CompactBulletin;
}

interface CachedBulletin {
  readonly at: Millis;
  readonly revision: number;
  readonly bytes: Uint8Array;
}

/** Holds the bulletin that was built last. */
export class BulletinCache {
  private last: CachedBulletin | undefined;

  private constructor(private readonly o: BulletinCacheOptions) {}

  static create(options: BulletinCacheOptions): BulletinCache {
    return new BulletinCache(options);
  }

  /** The current bulletin, encoded. */
  get bytes(): Uint8Array {
    const { clock, revision, entryCount, build } = this.o;
    const now = clock.now();
    const { last } = this;
    const maxAgeMs = Math.max(minAgeMs, entryCount() * ageMsPerEntry);
    if (last && last.revision === revision() && now - last.at < maxAgeMs) return last.bytes;
    this.last = { at: now, revision: revision(), bytes: encode(build()) };
    return this.last.bytes;
  }
}

/** The bulletin of the leader, from either form. */
export interface DecodedBulletin extends Omit<Bulletin, 'entries'> {
  /** The list of entries; undefined if the caller has it. */
  readonly entries: readonly EntryRecord[] | undefined;
  /** Revision of that list; undefined in bulletins of earlier versions. */
  readonly entriesRevision: string | undefined;
}

/** Decodes a bulletin of this version or an earlier one. */
export function decodeBulletin(bytes: Uint8Array): DecodedBulletin {
  const bulletin = decode<Bulletin | CompactBulletin>(bytes);
  if (!('loadRows' in bulletin)) return { ...bulletin, entriesRevision: undefined };
  const loads = bulletin.loadRows.map(([id, sequences, entered, tokenLayers]) => ({
    id,
    sequences,
    entered,
    tokenLayers,
  }));
  return { ...bulletin, loads };
}

/** The revision of a list of entries, which differs from those of other leaders. */
export function entriesRevisionOf(term: number, revision: number): string {
  return `${term}.${revision}`;
}

/** The term of the leader that named a revision; undefined where it named none. */
export function termOf(entriesRevision: string): string | undefined {
  const [term = ''] = entriesRevision.split('.', 1);
  return term === '' ? undefined : term;
}

/** A load in the form of a compact bulletin. */
export function rowOf({ id, sequences, entered, tokenLayers }: UpstreamLoad): LoadRow {
  return [id, sequences, entered, tokenLayers];
}

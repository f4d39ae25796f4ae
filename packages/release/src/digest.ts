/** Digests of release notes, by which a resent note is recognised. */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { ReleaseNote } from './release.js';

/** Returns the digest of a note. It does not depend on the order of entries and keys. */
export function digestOfNote(note: ReleaseNote): Digest {
  return digestOf(JSON.stringify(canonicalise(note, 0)));
}

/** Depth of the lists of entries in a note, such as `added.models`. Their order has no meaning. */
const entryDepth = 2;

/** Sorts the keys of all objects, and the lists of entries. */
function canonicalise(value: unknown, depth: number): unknown {
  if (Array.isArray(value)) {
    const items = value.map((x) => canonicalise(x, depth + 1));
    return depth === entryDepth ? items.sort(compareJson) : items;
  }
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(entries.map(([key, x]) => [key, canonicalise(x, depth + 1)]));
}

/** Orders values by their JSON text. */
function compareJson(a: unknown, b: unknown): number {
  const [x, y] = [JSON.stringify(a), JSON.stringify(b)];
  if (x === y) return 0;
  return x < y ? -1 : 1;
}

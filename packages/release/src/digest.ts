/** The digest of a note's content. */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { ReleaseNote } from './release.js';

/** The digest of a note: equal for equal notes, whatever the order of their entries and keys. */
export function digestOfNote(note: ReleaseNote): Digest {
  return digestOf(JSON.stringify(canonical(note, 0)));
}

/** Depth of the lists of entries below the note, whose order means nothing. */
const entryDepth = 2;

function canonical(value: unknown, depth: number): unknown {
  if (Array.isArray(value)) {
    const items = value.map((x) => canonical(x, depth + 1));
    return depth === entryDepth ? items.sort(byText) : items;
  }
  if (typeof value !== 'object' || value === null) return value;
  const pairs = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(pairs.map(([key, x]) => [key, canonical(x, depth + 1)]));
}

function byText(a: unknown, b: unknown): number {
  const [x, y] = [JSON.stringify(a), JSON.stringify(b)];
  if (x === y) return 0;
  return x < y ? -1 : 1;
}

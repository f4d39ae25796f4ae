/** Digests and rendezvous hashing. */

import { createHash } from 'node:crypto';
import type { Digest } from './id.js';

/** The SHA-256 digest of `text`, in hexadecimal. */
export function digestOf(text: string | Uint8Array): Digest {
  return createHash('sha256').update(text).digest('hex') as Digest;
}

/**
 * A 32-bit FNV-1a hash of `text` with a final mix. It must stay the same over versions and
 * machines, since all nodes have to compute the same owners.
 */
export function hash32(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i += 1) {
    h ^= text.charCodeAt(i);
    h = Math.imul(h, 0x01000193);
  }
  h ^= h >>> 16;
  h = Math.imul(h, 0x85ebca6b);
  h ^= h >>> 13;
  h = Math.imul(h, 0xc2b2ae35);
  h ^= h >>> 16;
  return h >>> 0;
}

/** Mixes two hashes into a rendezvous weight; cheaper than hashing the concatenated names. */
export function mixHashes(a: number, b: number): number {
  let h = Math.imul(a ^ Math.imul(b, 0x9e3779b1), 0x85ebca6b);
  h ^= h >>> 15;
  h = Math.imul(h, 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}

/** An id with its hash, so that the hash is computed only once. */
export interface HashedId<T extends string> {
  readonly id: T;
  readonly hash: number;
}

/**
 * Returns the candidate with the highest rendezvous weight for a hashed key, or undefined where
 * there is none. Of candidates with equal weights, the first by id wins.
 */
export function rendezvousFirst<T extends string>(
  key: number,
  candidates: readonly HashedId<T>[],
): T | undefined {
  let best: T | undefined;
  let bestWeight = -1;
  for (const { id, hash } of candidates) {
    const weight = mixHashes(key, hash);
    if (weight < bestWeight || (weight === bestWeight && best !== undefined && best < id)) continue;
    best = id;
    bestWeight = weight;
  }
  return best;
}

/** Orders `candidates` for `key` by rendezvous weight, highest first. */
export function rendezvous<T extends string>(key: string, candidates: readonly T[]): readonly T[] {
  return candidates
    .map((name) => ({ name, weight: hash32(`${key}|${name}`) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map((c) => c.name);
}

/** Names the leading blocks of a prompt, so that requests find a replica that holds them. */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { GenerationRequest } from './generation.js';

/** Characters of one block; a shorter last one is not named. */
const blockChars = 1024;

/** Blocks that are named at most. */
const blockLimit = 16;

/** Digests of the leading blocks, each over all text before it too, shortest first. */
export function prefixOf(g: GenerationRequest): readonly Digest[] {
  const out: Digest[] = [];
  let before = JSON.stringify([g.model.id, g.version, g.adapter ?? null]);
  const count = Math.min(blockLimit, Math.floor(g.prompt.length / blockChars));
  for (let i = 0; i < count; i += 1) {
    const digest = digestOf(before + g.prompt.slice(i * blockChars, (i + 1) * blockChars));
    out.push(digest);
    before = digest;
  }
  return out;
}

/** Names the leading blocks of a prompt, so that requests find a replica that holds them. */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { GenerationRequest } from './generation.js';

/** Characters of one block; a shorter last one is not named. */
const blockChars = 1024;

/** Blocks that are named at most. */
const maxBlocks = 16;

/** Digests of the leading blocks, each over all text before it too, shortest first. */
export function prefixOf(request: GenerationRequest): readonly Digest[] {
  const out: Digest[] = [];
  let previous = JSON.stringify([request.model.id, request.version, request.adapter ?? null]);
  const count = Math.min(maxBlocks, Math.floor(request.prompt.length / blockChars));
  for (let i = 0; i < count; i += 1) {
    const digest = digestOf(previous + request.prompt.slice(i * blockChars, (i + 1) * blockChars));
    out.push(digest);
    previous = digest;
  }
  return out;
}

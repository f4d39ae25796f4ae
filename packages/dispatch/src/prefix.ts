/** Digests of prompt prefixes, by which requests find a replica whose KV cache holds theirs. */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { GenerationRequest } from './generation.js';

/** Characters of one block. A shorter block at the end of a prompt has no digest. */
const blockChars = 1024;

/** Bounds the number of blocks with a digest. */
const maxBlocks = 16;

/**
 * Digests of the leading blocks of a prompt, shortest prefix first. Each digest covers the model,
 * version, adapter and all text before its block too, so that equal digests mean equal prefixes.
 */
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

/** Reads the body of a request or response into memory, up to a limit. */

import type { Readable } from 'node:stream';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { ByteBlocks } from './byteblocks.js';

/**
 * Returns all bytes of a body, or `too-large` where it has more than `maxBytes`; the rest of a
 * longer body is left unread. `onHeld` is told the number of bytes that are held, after each chunk.
 * Throws if the stream breaks off.
 */
export async function collectBody(
  chunks: AsyncIterable<Uint8Array>,
  maxBytes: number,
  onHeld: (bytes: number) => void = () => undefined,
): Promise<Result<Buffer, 'too-large'>> {
  const held = ByteBlocks.create();
  for await (const chunk of chunks) {
    if (held.length + chunk.length > maxBytes) return err('too-large');
    held.append(chunk);
    onHeld(held.length);
  }
  return ok(held.take());
}

/**
 * As `collectBody`, for a request to a server of this process. The request stays intact where its
 * body is too large, so that a refusal can still be sent.
 */
export function collectRequest(
  request: Readable,
  maxBytes: number,
): Promise<Result<Buffer, 'too-large'>> {
  const chunks = request.iterator({ destroyOnReturn: false });
  return collectBody(chunks as AsyncIterable<Uint8Array>, maxBytes);
}

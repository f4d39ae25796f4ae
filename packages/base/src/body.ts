/** Reads the body of a request or response into memory, up to a limit. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/**
 * Returns all bytes of a body, or `too-large` where it has more than `maxBytes`; the rest of a
 * longer body is left unread. Throws if the stream breaks off.
 */
export async function collectBody(
  chunks: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Result<Buffer, 'too-large'>> {
  const parts: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of chunks) {
    bytes += chunk.length;
    if (bytes > maxBytes) return err('too-large');
    parts.push(chunk);
  }
  return ok(Buffer.concat(parts));
}

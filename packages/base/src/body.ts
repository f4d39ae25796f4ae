/** Reads bodies whole, up to a limit. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';

/** All bytes of a body, at most `most` of them; the rest of a longer one is left unread. Throws where it breaks off. */
export async function collectBody(
  chunks: AsyncIterable<Uint8Array>,
  most: number,
): Promise<Result<Buffer, 'too-large'>> {
  const parts: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of chunks) {
    bytes += chunk.length;
    if (bytes > most) return err('too-large');
    parts.push(chunk);
  }
  return ok(Buffer.concat(parts));
}

/** Reads request bodies with a limit, and sends JSON. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import { collectRequest } from '@tanagercart/base';

/** Reads a whole body of at most `limit` bytes; leaves the rest of a longer one unread. */
export async function readBody(
  req: IncomingMessage,
  limit: number,
): Promise<Result<Buffer, 'too-large'>> {
  if (Number(req.headers['content-length'] ?? 0) > limit) return err('too-large');
  return collectRequest(req, limit);
}

/** Parses JSON; undefined where it is malformed. */
export function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}

/** Sends a JSON answer with its length, and ends the response. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

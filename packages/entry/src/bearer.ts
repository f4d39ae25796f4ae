/** Bearer keys of callers, upstreams and operators. */

import { timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { digestOf } from '@tanagercart/base';

/** The bearer key in the `Authorization` header; undefined where there is none. */
export function bearerOf(req: IncomingMessage): string | undefined {
  const [scheme, key] = (req.headers.authorization ?? '').split(' ');
  return scheme?.toLowerCase() === 'bearer' && key ? key : undefined;
}

/** Whether a request carries `key`. Compares digests in constant time, against timing attacks. */
export function carriesKey(req: IncomingMessage, key: string): boolean {
  const given = bearerOf(req) ?? '';
  return timingSafeEqual(Buffer.from(digestOf(given)), Buffer.from(digestOf(key)));
}

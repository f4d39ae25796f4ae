/** Keys that callers, upstreams and operators send. */

import { timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { digestOf } from '@tanagercart/base';

/** The key in the `Authorization` header, if there is one. */
export function bearerOf(req: IncomingMessage): string | undefined {
  const [scheme, key] = (req.headers.authorization ?? '').split(' ');
  return scheme?.toLowerCase() === 'bearer' && key ? key : undefined;
}

/** Whether a request carries `key`; takes the same time wherever the keys differ. */
export function carriesKey(req: IncomingMessage, key: string): boolean {
  const given = bearerOf(req) ?? '';
  return timingSafeEqual(Buffer.from(digestOf(given)), Buffer.from(digestOf(key)));
}

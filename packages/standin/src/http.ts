/** HTTP helpers that the stand-ins share. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { collectRequest } from '@tanagercart/base';

/** Limit on the body of a request, in bytes. */
const bodyLimit = 8 * 1024 * 1024;

/** Listens on a free loopback port. */
export function listenOnLoopback(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
}

/** The base URL of a server on loopback. */
export function urlOf(server: Server): string {
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Reads the body of a request as JSON; an empty body is `{}`. Throws if it exceeds the limit. */
export async function readJson(req: IncomingMessage): Promise<unknown> {
  const body = await collectRequest(req, bodyLimit);
  if (body.isErr()) throw new RangeError('body too large');
  return body.value.length === 0 ? {} : JSON.parse(body.value.toString());
}

/** Sends `body` as a JSON response. */
export function sendJson(res: ServerResponse, body: unknown, status = 200): void {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}

/** Encodes a value as one line of newline-delimited JSON. */
export function jsonLine(value: unknown): string {
  return `${JSON.stringify(value)}\n`;
}

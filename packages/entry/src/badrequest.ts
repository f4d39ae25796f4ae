/** Answers requests that never became whole. */

import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { notRun } from '@tanagercart/dispatch';
import type { Refusal } from '@tanagercart/dispatch';
import type { Entry } from './entry.js';
import { refusalBody, statusOfRefusal } from './refuse.js';

/** Code of the error for a request that took too long to arrive. */
export const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Refuses what arrived on a connection, and closes it. */
export function answerBadRequest(entry: Entry, error: Error, socket: Duplex): void {
  const { code } = error as { readonly code?: string };
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const refusal = refusalOf(entry, code);
  entry.recordRefusal(refusal, {});
  socket.end(textOf(refusal));
}

function refusalOf(entry: Entry, code = ''): Refusal {
  const { headerBytes, requestMs } = entry.options.limits;
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return notRun('headers-too-large', `the head of a request may have ${headerBytes} bytes`);
    case requestTimeoutCode:
      return notRun('request-timeout', `a request must be sent within ${requestMs} ms`);
    default:
      return notRun('malformed', 'this is no valid HTTP request');
  }
}

function textOf(refusal: Refusal): string {
  const status = statusOfRefusal(refusal);
  const body = JSON.stringify(refusalBody(refusal, []));
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `tanagercart-run: ${refusal.run}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}

/**
 * Answers requests that the HTTP parser of Node.js rejects: malformed ones, too large headers, and
 * requests that do not arrive in time. There is no response object for them, so the answer is
 * written to the socket.
 */

import { STATUS_CODES } from 'node:http';
import type { Duplex } from 'node:stream';
import { notRun } from '@tanagercart/dispatch';
import type { Refusal } from '@tanagercart/dispatch';
import type { Entry } from './entry.js';
import { refusalBody, statusOfRefusal } from './refusal.js';

/** Error code of Node.js for a request that did not arrive in time. */
export const requestTimeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Sends a refusal on a connection and closes it; does not answer a connection that was reset. */
export function answerBadRequest(entry: Entry, error: Error, socket: Duplex): void {
  const { code } = error as { readonly code?: string };
  if (!socket.writable || code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const refusal = refusalForError(entry, code);
  entry.recordRefusal(refusal, {});
  socket.end(rawResponse(refusal));
}

function refusalForError(entry: Entry, code = ''): Refusal {
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

function rawResponse(refusal: Refusal): string {
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

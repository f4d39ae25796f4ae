/** Refusals as callers receive them: HTTP status, headers and JSON body. */

import type { ServerResponse } from 'node:http';
import type { Refusal } from '@tanagercart/dispatch';
import type { RefusalReason } from '@tanagercart/protocol';

/** HTTP status of each refusal. */
const statusByReason: Readonly<Record<RefusalReason, number>> = {
  unauthorised: 401,
  malformed: 400,
  unsupported: 400,
  'not-found': 404,
  'too-large': 413,
  'headers-too-large': 431,
  'prompt-too-large': 413,
  'request-timeout': 408,
  'slow-reader': 408,
  'unknown-model': 404,
  'unknown-tier': 400,
  'unknown-service': 404,
  'key-required': 400,
  'key-conflict': 409,
  'order-in-progress': 409,
  'order-unknown': 502,
  'account-limit': 429,
  'no-replica': 503,
  'promise-unreachable': 503,
  'no-lease': 503,
  draining: 503,
  quarantined: 422,
  withdrawn: 410,
  'owner-unreachable': 503,
  'shared-state-unavailable': 503,
  'upstream-failed': 502,
  'retry-budget': 503,
  deadline: 504,
  internal: 500,
};

/** Reasons that concern only this node; another node may accept the request. */
const localReasons: ReadonlySet<RefusalReason> = new Set([
  'draining',
  'no-lease',
  'owner-unreachable',
  'shared-state-unavailable',
]);

/** Whether a refusal concerns only this node, so that the caller should try another one. */
export function isLocalRefusal(refusal: Refusal): boolean {
  return localReasons.has(refusal.reason);
}

/** HTTP status of a refusal. */
export function statusOfRefusal(refusal: Refusal): number {
  return statusByReason[refusal.reason];
}

/** The JSON body of a refusal; `entries` are base URLs of other nodes to try. */
export function refusalBody(refusal: Refusal, entries: readonly string[]): object {
  const { reason, run, message } = refusal;
  return {
    error: { code: reason, type: reason, message, run, ...(entries.length > 0 ? { entries } : {}) },
  };
}

/** Sends a refusal and ends the response; `entries` are base URLs of other nodes to try. */
export function sendRefusal(
  res: ServerResponse,
  refusal: Refusal,
  entries: readonly string[],
): void {
  const text = JSON.stringify(refusalBody(refusal, entries));
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    'tanagercart-run': refusal.run,
  };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.max(1, Math.ceil(refusal.retryAfterMs / 1000)));
  }
  res.writeHead(statusByReason[refusal.reason], headers).end(text);
}

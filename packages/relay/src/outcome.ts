/** How attempts end, and the responses that are held until they are complete. */

import { collectBody } from '@tanagercart/base';
import type { Caller, ResponseHead } from './call.js';
import type { Contact } from './health.js';
import type { Failure } from './retry.js';
import type { SendError, UpstreamResponse } from './upstream.js';

/** Largest response that is held in memory until it is complete; a longer one is a failure. */
const maxResponseBytes = 8 * 1024 * 1024;

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'delivered' }
  /** Another attempt serves the caller, or the request has ended. */
  | { readonly kind: 'cancelled' }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      readonly detail: string;
      /** What the failure says of the upstream; `answered` unless given. */
      readonly contact?: Contact;
      /** The error response of the upstream, if it sent one. */
      readonly response?: CompleteResponse;
    };

/** A response whose body was read to its end. */
export interface CompleteResponse {
  readonly head: ResponseHead;
  readonly body: Uint8Array;
}

/** The outcome of an attempt without a response. */
export function failureOf(error: SendError): AttemptOutcome {
  if (error.kind === 'cancelled') return { kind: 'cancelled' };
  const { kind, detail } = error;
  if (kind === 'broken') return { kind: 'failed', failure: kind, detail };
  return { kind: 'failed', failure: kind, detail, contact: error.isGone ? 'gone' : 'silent' };
}

/** Sends a complete response to the caller. */
export function sendResponse(response: CompleteResponse, caller: Caller): void {
  caller.start(response.head);
  void caller.write(response.body);
  caller.end();
}

/** Reads the response to its end; undefined where the body is incomplete or too large. */
export async function readResponse({
  head,
  body,
}: UpstreamResponse): Promise<CompleteResponse | undefined> {
  try {
    const bytes = await collectBody(body, maxResponseBytes);
    return bytes.isOk() ? { head, body: bytes.value } : undefined;
  } catch {
    return undefined;
  }
}

/** How attempts end, and the responses that are held until they are complete. */

import { collectBody, unreachable } from '@tanagercart/base';
import type { Caller, ResponseHead } from './call.js';
import type { Failure } from './retry.js';
import type { StallCause } from './stall.js';
import type { SendError, UpstreamResponse } from './upstream.js';

/** Largest response that is held in memory until it is complete; a longer one is a failure. */
const maxResponseBytes = 8 * 1024 * 1024;

/** How an attempt ended. */
export type AttemptOutcome =
  | { readonly kind: 'delivered' }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      readonly detail: string;
      /** Address of the upstream that caused the failure, where it is another one. */
      readonly culprit?: string;
      /** Whether the upstream that caused the failure could not be reached. */
      readonly unreachable?: boolean;
      /** Whether the way to the upstream failed, and not the upstream. */
      readonly isPathAtFault?: boolean;
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
  const failure = error.kind === 'unreachable' ? 'unreachable' : 'broken';
  return { kind: 'failed', failure, detail: 'detail' in error ? error.detail : error.kind };
}

/** The outcome of an attempt that the stall detector ended. */
export function stallFailure(cause: StallCause): AttemptOutcome {
  switch (cause.kind) {
    case 'blocked':
      return {
        kind: 'failed',
        failure: 'broken',
        detail: 'a stage is not reached',
        culprit: cause.address,
        unreachable: true,
      };
    case 'unreachable':
      return {
        kind: 'failed',
        failure: 'silent',
        detail: 'the upstream is not reached',
        unreachable: true,
      };
    case 'cut-off':
      return {
        kind: 'failed',
        failure: 'silent',
        detail: 'the own link to the upstream is broken',
        isPathAtFault: true,
      };
    case 'silent':
      return { kind: 'failed', failure: 'silent', detail: 'no answer' };
    default:
      return unreachable(cause);
  }
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

/** How attempts end, and the responses that are held until they are complete. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { collectBody } from '@tanagercart/base';
import type { Caller, ResponseHead } from './call.js';
import type { Contact } from './health.js';
import type { Holding } from './intake.js';
import { brokenRead } from './overrun.js';
import type { BrokenRead, OverrunKind } from './overrun.js';
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
      /**
       * What the failure says of the upstream; `answered` unless given, and nothing where the request
       * may have `crossed` the end of an idle connection.
       */
      readonly contact?: Contact | 'crossed';
      /** What the attempt received too much of; undefined where it failed otherwise. */
      readonly overrun?: OverrunKind | undefined;
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
  if (kind === 'broken') {
    const outcome = failureOfRead(error);
    return error.mayHaveCrossed ? { ...outcome, contact: 'crossed' } : outcome;
  }
  return { kind: 'failed', failure: kind, detail, contact: error.isGone ? 'gone' : 'silent' };
}

/** The outcome of an attempt whose response was not read to its end. */
export function failureOfRead({
  detail,
  overrun,
}: BrokenRead): Extract<AttemptOutcome, { kind: 'failed' }> {
  return { kind: 'failed', failure: 'broken', detail, overrun };
}

/** Sends a complete response to the caller. */
export function sendResponse(response: CompleteResponse, caller: Caller): void {
  caller.start(response.head, response.body.length);
  void caller.write(response.body);
  caller.end();
}

/** Reads the response to its end, and records in `holding` what it holds. */
export async function readResponse(
  { head, body }: UpstreamResponse,
  holding: Holding,
): Promise<Result<CompleteResponse, BrokenRead>> {
  try {
    const bytes = await collectBody(body, maxResponseBytes, (held) => holding.record(held));
    if (bytes.isOk()) return ok({ head, body: bytes.value });
    return err({ detail: 'the answer is too large', overrun: 'body' });
  } catch (e) {
    return err(brokenRead(e, 'the answer broke off'));
  }
}

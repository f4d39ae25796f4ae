/** What the relay needs of the client for upstreams. */

import type { Result } from 'neverthrow';
import type { Millis } from '@tanagercart/base';
import type { Path } from '@tanagercart/layers';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Call, ResponseHead } from './call.js';
import type { ProbeResult } from './silence.js';

/** One sending of a request. */
export interface Attempt {
  readonly upstream: UpstreamRecord;
  /** The stages that it passes; undefined at plain services. */
  readonly path: Path | undefined;
  /** Time that the upstream may take at most. */
  readonly remainingMs: Millis;
  /** The last event that the caller has. */
  readonly lastEvent: number | undefined;
}

/** An answer whose body is still to come. */
export interface UpstreamResponse {
  readonly head: ResponseHead;
  /** The upstream says that it did not run the request and will not. */
  readonly notRun: boolean;
  /** Address of the upstream that made this one refuse, where it is another. */
  readonly culprit: string | undefined;
  /** Ends normally only where the body is complete; otherwise throws. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Why there is no answer. */
export type SendError =
  /** Nothing was sent. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The connection broke, or brought bytes that are no answer to this request. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** Cancelled by the relay. */
  | { readonly kind: 'cancelled' };

/** Sends requests to upstreams. */
export interface UpstreamClient {
  /** Resolves once the head of the answer is there; `stop` also ends its body. */
  send(
    call: Call,
    attempt: Attempt,
    stop: AbortSignal,
  ): Promise<Result<UpstreamResponse, SendError>>;
  /** Finds out why an upstream has not answered a request so far. */
  probe(call: Call, upstream: UpstreamRecord): Promise<ProbeResult>;
}

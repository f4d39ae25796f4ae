/** Interface of the client that sends requests to upstreams. */

import type { Result } from 'neverthrow';
import type { Millis } from '@tanagercart/base';
import type { Path } from '@tanagercart/layers';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { UpstreamNotices } from './availability.js';
import type { Call, ResponseHead } from './call.js';
import type { OverrunKind } from './overrun.js';
import type { ProbeResult } from './silence.js';

/** One attempt to send a request. */
export interface Attempt {
  readonly upstream: UpstreamRecord;
  /** The pipeline stages in order; undefined for a service without layers. */
  readonly path: Path | undefined;
  /** Time until the deadline of the request. */
  readonly remainingMs: Millis;
  /** Id of the last event that the caller received; a resumed stream continues after it. */
  readonly lastEvent: number | undefined;
  /** Whether it needs a connection of its own, as a kept one has closed under the request. */
  readonly needsNewConnection: boolean;
}

/** A response whose head was received and whose body is still to be read. */
export interface UpstreamResponse {
  readonly head: ResponseHead;
  readonly notices: UpstreamNotices;
  /** Address of the upstream that caused the failure, where it is not the one that responded. */
  readonly culprit: string | undefined;
  /** Throws where the body ends before it is complete, an `Overrun` where it is not read on. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Why there is no response. */
export type SendError =
  /** The request was not sent; `isGone` where nothing listens at the address. */
  | { readonly kind: 'unreachable'; readonly detail: string; readonly isGone: boolean }
  /** The connection broke, or the bytes received are not a response to this request. */
  | {
      readonly kind: 'broken';
      readonly detail: string;
      readonly overrun?: OverrunKind;
      /** Whether the upstream may have closed an idle connection before the request arrived. */
      readonly mayHaveCrossed?: boolean;
    }
  /** The relay cancelled the attempt. */
  | { readonly kind: 'cancelled' };

/** Sends requests to upstreams. */
export interface UpstreamClient {
  /** Sends a request once; to send it again is up to the relay. Resolves once the head of the response is received; `stop` also aborts its body. */
  send(
    call: Call,
    attempt: Attempt,
    stop: AbortSignal,
  ): Promise<Result<UpstreamResponse, SendError>>;
  /** Asks an upstream why it has not responded to a request yet. */
  probe(call: Call, upstream: UpstreamRecord): Promise<ProbeResult>;
}

/** A request of a caller, and the interface through which its response is sent. */

import type { AccountId, Millis, RequestId } from '@tanagercart/base';
import { isStreamKind } from '@tanagercart/config';
import type { Route, Service } from '@tanagercart/config';
import type { RequestSize } from '@tanagercart/layers';

/** Alternating header names and values, in the order and case in which they were received. */
export type RawHeaders = readonly string[];

/** A decoded and admitted request. */
export interface Call {
  /** Identifies one attempt of the caller; a retry by the caller has another id. */
  readonly id: RequestId;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** End-to-end headers, without hop-by-hop ones. */
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  readonly route: Route;
  readonly service: Service;
  readonly account: AccountId | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Tokens as estimated by the caller; undefined where it gave no estimate. */
  readonly work: RequestSize | undefined;
  /** Ids of the parts of the prompt that other requests share, in order. */
  readonly sharedParts: readonly string[];
  /** Id of the last event that the caller received from an earlier attempt. */
  readonly lastEvent: number | undefined;
  readonly startedAt: Millis;
  /** Time at which the caller stops waiting; undefined where it gave no deadline. */
  readonly callerDeadline: Millis | undefined;
}

/** Status and headers of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly reason: string;
  readonly headers: RawHeaders;
  /** Whether the body has no length and ends only when the connection closes (RFC 9112). */
  readonly closeDelimited: boolean;
}

/** Why a request is answered by the router itself instead of an upstream. */
export type Refusal =
  /** No upstream ran the request or will run it; the caller may retry after `retryAfterMs`. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: Millis }
  /** The request may have run, and its outcome is unknown. */
  | { readonly kind: 'unknown'; readonly reason: string }
  /** The deadline passed without a response. */
  | { readonly kind: 'timeout'; readonly reason: string };

/** Connection to the caller of one request. */
export interface Caller {
  /** Aborts when the caller closes its connection. */
  readonly disconnected: AbortSignal;
  /**
   * Sends status and headers of an upstream's response. `bodyBytes` is the length of its body, where
   * that is known already.
   */
  start(head: ResponseHead, bodyBytes?: number): void;
  /** Sends bytes of the body; resolves once the connection accepts more, for back-pressure. */
  write(bytes: Uint8Array): Promise<void>;
  /** Completes the response. */
  end(): void;
  /** Closes the connection in the middle of a response, so that it does not look complete. */
  abort(): void;
  /** Sends an error response of the router itself. */
  refuse(refusal: Refusal): void;
}

/** The earlier of the route's timeout and the caller's own deadline. */
export function deadlineOf(call: Call): Millis {
  const timeout = call.startedAt + call.route.timeoutMs;
  return Math.min(timeout, call.callerDeadline ?? Infinity);
}

/** Whether a request may run more than once. */
export function isRepeatable(call: Call): boolean {
  return call.route.kind === 'idempotent' || call.route.kind === 'resumable-stream';
}

/** Whether the response is a stream of server-sent events. */
export function isStream(call: Call): boolean {
  return isStreamKind(call.route.kind);
}

/** A request of a caller, and where its answer goes. */

import type { AccountId, Millis, RequestId } from '@tanagercart/base';
import type { Route, Service } from '@tanagercart/config';
import type { RequestSize } from '@tanagercart/layers';

/** Header names and values in turn, as they were received. */
export type RawHeaders = readonly string[];

/** A request that may be served. */
export interface Call {
  /** One caller's attempt; the caller's own repeats have other ids. */
  readonly id: RequestId;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Headers that travel from end to end. */
  readonly headers: RawHeaders;
  readonly body: Uint8Array;
  readonly route: Route;
  readonly service: Service;
  readonly account: AccountId | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The caller's estimate; undefined where it gave none. */
  readonly work: RequestSize | undefined;
  /** The last event that the caller has of an earlier attempt. */
  readonly lastEvent: number | undefined;
  readonly startedAt: Millis;
  /** When the caller stops waiting; undefined where it did not tell. */
  readonly callerDeadline: Millis | undefined;
}

/** Status and headers of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly reason: string;
  readonly headers: RawHeaders;
  /** The body has no length: only the end of the connection ends it. */
  readonly closeDelimited: boolean;
}

/** Why a request gets an answer of the system's own. */
export type Refusal =
  /** Did not run and will not run; the caller may come back after `retryAfterMs`. */
  | { readonly kind: 'not-run'; readonly reason: string; readonly retryAfterMs: Millis }
  /** May have run; nothing is known of its outcome. */
  | { readonly kind: 'unknown'; readonly reason: string }
  /** No answer within the time that it had. */
  | { readonly kind: 'timeout'; readonly reason: string };

/** The caller's end of a request. */
export interface Caller {
  /** Aborts when the caller has left. */
  readonly disconnected: AbortSignal;
  /** Sends status and headers of an upstream's answer. */
  start(head: ResponseHead): void;
  /** Sends bytes of the body; resolves when more may be sent. */
  write(bytes: Uint8Array): Promise<void>;
  end(): void;
  /** Breaks off an answer that was started, so that it does not look complete. */
  abort(): void;
  refuse(refusal: Refusal): void;
}

/** When a request must have its answer: whichever of its bounds comes first. */
export function deadlineOf(call: Call): Millis {
  const timeout = call.startedAt + call.route.timeoutMs;
  return Math.min(timeout, call.callerDeadline ?? Infinity);
}

/** Whether a request may run more than once. */
export function isRepeatable(call: Call): boolean {
  return call.route.kind === 'idempotent' || call.route.kind === 'resumable-stream';
}

/** Whether its answer is a stream of events. */
export function isStream(call: Call): boolean {
  return call.route.kind === 'stream' || call.route.kind === 'resumable-stream';
}

/**
 * Messages between entries and the gate of a fingerprint, which limits how many upstreams a poison
 * request can crash.
 */

import type { Digest, ReplicaId, RequestId } from '@tanagercart/base';

/** Asks the gate of a fingerprint whether an attempt may run now. */
export interface ClearCall {
  readonly fingerprint: Digest;
  readonly request: RequestId;
  /** Identifies the attempt among all attempts of its fingerprint. */
  readonly holder: string;
  readonly replica: ReplicaId;
  /** Whether the caller could not reach the gates that it prefers to this one. */
  readonly deputy: boolean;
}

/** The reply of a gate. */
export type ClearReply =
  | { readonly kind: 'cleared' }
  /**
   * An equal request runs on another replica and has not completed yet; the caller asks again after
   * `againMs`.
   */
  | { readonly kind: 'wait'; readonly againMs: number }
  | { readonly kind: 'quarantined' };

/** Reports to the gate that a cleared attempt has ended. */
export interface SettleCall {
  readonly fingerprint: Digest;
  readonly holder: string;
  readonly end: ClearedEnd;
}

/** How a cleared attempt ended; `ended` is any end without a whole answer or a crash. */
export type ClearedEnd =
  | { readonly kind: 'complete' }
  | { readonly kind: 'ended' }
  /** The upstream crashed; the strike has this log index, or undefined if it was not recorded. */
  | { readonly kind: 'crashed'; readonly index: number | undefined };

/** The reply to a `SettleCall`. */
export interface SettleReply {
  /** Whether the gate had cleared the attempt. */
  readonly known: boolean;
}

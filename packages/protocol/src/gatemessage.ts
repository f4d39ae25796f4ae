/** Messages between entries and the gate of a fingerprint. */

import type { Digest, ReplicaId, RequestId } from '@tanagercart/base';

/** Asks the gate of a fingerprint whether an attempt may run now. */
export interface ClearCall {
  readonly fingerprint: Digest;
  readonly request: RequestId;
  /** Names the attempt among all of its fingerprint. */
  readonly holder: string;
  readonly replica: ReplicaId;
  /** Whether the caller could not reach the gates that come before this one. */
  readonly deputy: boolean;
}

/** The answer of a gate. */
export type ClearReply =
  | { readonly kind: 'cleared' }
  /** An equal request runs on another replica and has not proved harmless yet. */
  | { readonly kind: 'wait'; readonly againMs: number }
  | { readonly kind: 'quarantined' };

/** Tells the gate that a cleared attempt has ended. */
export interface SettleCall {
  readonly fingerprint: Digest;
  readonly holder: string;
  readonly end: ClearedEnd;
}

/** How a cleared attempt ended. */
export type ClearedEnd =
  | { readonly kind: 'complete' }
  | { readonly kind: 'ended' }
  /** The upstream crashed; its strike has this log index, or could not be recorded. */
  | { readonly kind: 'crashed'; readonly index: number | undefined };

export interface SettleReply {
  readonly known: boolean;
}

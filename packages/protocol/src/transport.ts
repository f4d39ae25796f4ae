/** What the other packages need of the network between the nodes. */

import type { NodeId } from '@tanagercart/base';
import type { Result } from 'neverthrow';
import type { CallOf, ExchangeKind, ReplyOf } from './message.js';

/** Why a call between nodes has no reply. */
export type CallError =
  /** No connection: the peer did not receive the call. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The call may or may not have been carried out. */
  | { readonly kind: 'lost'; readonly detail: string }
  /** No reply in time; the call may or may not have been carried out. */
  | { readonly kind: 'timeout' };

/** How long to wait for a reply. */
export interface CallOptions {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Answers calls of one kind. `from` is the caller. */
export type CallHandler<K extends ExchangeKind> = (
  from: NodeId,
  call: CallOf<K>,
) => Promise<ReplyOf<K>>;

/** Carries calls to other nodes and answers theirs. */
export interface Transport {
  /** Sends one call; never throws. */
  call<K extends ExchangeKind>(
    to: NodeId,
    kind: K,
    call: CallOf<K>,
    options: CallOptions,
  ): Promise<Result<ReplyOf<K>, CallError>>;
  /** Sets the handler of `kind`; at most one each. */
  serve<K extends ExchangeKind>(kind: K, handler: CallHandler<K>): void;
}

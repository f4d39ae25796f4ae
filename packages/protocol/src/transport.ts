/** The interface through which other packages use the network between nodes. */

import type { NodeId } from '@tanagercart/base';
import type { Result } from 'neverthrow';
import type { CallOf, ExchangeKind, ReplyOf } from './message.js';

/** Why a call between nodes has no reply. */
export type CallError =
  /** There was no connection, or no handler: the call was not carried out. */
  | { readonly kind: 'unreachable'; readonly detail: string }
  /** The connection broke; the call may or may not have been carried out. */
  | { readonly kind: 'lost'; readonly detail: string }
  /** No reply arrived in time; the call may or may not have been carried out. */
  | { readonly kind: 'timeout' };

/** How long to wait for a reply. Aborting `signal` ends the call like a timeout. */
export interface CallOptions {
  readonly timeoutMs: number;
  readonly signal?: AbortSignal;
}

/** Handles calls of one kind from the node `from`. */
export type CallHandler<K extends ExchangeKind> = (
  from: NodeId,
  call: CallOf<K>,
) => Promise<ReplyOf<K>>;

/** Sends calls to other nodes, and passes their calls to the handlers of this node. */
export interface Transport {
  /** Sends a call once and resolves with its reply. Never throws. */
  call<K extends ExchangeKind>(
    to: NodeId,
    kind: K,
    call: CallOf<K>,
    options: CallOptions,
  ): Promise<Result<ReplyOf<K>, CallError>>;
  /** Sets the handler of `kind`, of which there is at most one. */
  serve<K extends ExchangeKind>(kind: K, handler: CallHandler<K>): void;
}

/** Messages between an entry and the node that owns the quota of a client account. */

import type { AccountId, TierId } from '@tanagercart/base';

/** Amounts of quota of one account and tier that are requested, granted or returned. */
export interface LimitAmounts {
  /** Permits, one for each request in progress. */
  readonly permits: number;
  /** Number of requests that may start. */
  readonly requests: number;
  /** Number of tokens that may be generated. */
  readonly tokens: number;
}

/** Asks the owner of an account for a part of its quota. */
export interface LimitCall {
  readonly account: AccountId;
  readonly tier: TierId;
  /** Permits that the caller holds, whichever owner granted them. */
  readonly held: number;
  /** The least amounts of use to the caller: those that one request needs. */
  readonly least: LimitAmounts;
  /** The amounts that the caller expects to use soon; not less than `least`. */
  readonly want: LimitAmounts;
  /** Unused amounts that the caller returns; negative if it used more tokens than granted. */
  readonly back: LimitAmounts;
}

/** The kind of a limit that is exhausted. */
export type LimitKind = 'concurrency' | 'requests' | 'tokens';

/** The owner's reply to a `LimitCall`. */
export type LimitReply =
  | {
      readonly kind: 'given';
      readonly amounts: LimitAmounts;
      /** Whether few permits are left, so that idle ones should be returned at once. */
      readonly scarce: boolean;
    }
  | { readonly kind: 'exhausted'; readonly limit: LimitKind; readonly retryAfterMs: number }
  /** The owner is new and waits until the nodes have reported the permits that they hold. */
  | { readonly kind: 'recovering' }
  /** The node does not own the account. */
  | { readonly kind: 'elsewhere' };

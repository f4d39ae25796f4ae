/** Messages between an entry and the node that keeps the limits of a client account. */

import type { AccountId, TierId } from '@tanagercart/base';

/** Amounts of one account and tier: what is asked for, given or returned. */
export interface LimitAmounts {
  /** Requests in progress at once. */
  readonly permits: number;
  /** Requests to start. */
  readonly requests: number;
  /** Tokens to generate. */
  readonly tokens: number;
}

/** Asks the keeper of an account for a part of its limits. */
export interface LimitCall {
  readonly account: AccountId;
  readonly tier: TierId;
  /** Permits that the caller holds, whoever gave them. */
  readonly held: number;
  /** The least that is of use, for one request. */
  readonly least: LimitAmounts;
  /** What the caller expects to use soon; at least `least`. */
  readonly want: LimitAmounts;
  /** What the caller gives back unused; negative tokens were used beyond what was given. */
  readonly back: LimitAmounts;
}

/** Which limit is used up. */
export type LimitKind = 'concurrency' | 'requests' | 'tokens';

export type LimitReply =
  | {
      readonly kind: 'given';
      readonly amounts: LimitAmounts;
      /** Whether few permits are left, so that idle ones should come back at once. */
      readonly scarce: boolean;
    }
  | { readonly kind: 'exhausted'; readonly limit: LimitKind; readonly retryAfterMs: number }
  /** The keeper is new and waits for what the nodes hold. */
  | { readonly kind: 'recovering' }
  /** The node is not the keeper of the account. */
  | { readonly kind: 'elsewhere' };

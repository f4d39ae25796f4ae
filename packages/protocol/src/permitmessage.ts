/** Messages between an entry and the node that gives the permits of an upstream with a limit. */

import type { Millis, UpstreamId } from '@tanagercart/base';

/** What a node knows of the rate at which one incarnation of an upstream accepts requests. */
export interface LimitNotice {
  readonly upstream: UpstreamId;
  readonly born: number;
  /** Requests per second from all nodes together; undefined where the upstream has no limit. */
  readonly perSecond: number | undefined;
  /** Time since the upstream said so. */
  readonly ageMs: Millis;
}

/** Asks for the permit to send one request to an upstream. */
export interface PermitCall {
  /** What the caller knows of the limit. */
  readonly notice: LimitNotice;
  /** Longest time for which the caller would wait for the permit. */
  readonly maxWaitMs: Millis;
  /** Whether the receiver is asked as the standby, because the owner did not answer. */
  readonly asStandby: boolean;
}

/** The reply to a `PermitCall`, with the newest that the receiver knows of the limit. */
export type PermitReply =
  /** The request may be sent `waitMs` after the call. */
  | { readonly kind: 'granted'; readonly notice: LimitNotice; readonly waitMs: Millis }
  /** No permit is free before `waitMs` have passed. */
  | { readonly kind: 'refused'; readonly notice: LimitNotice; readonly waitMs: Millis }
  /** The upstream has no limit any more. */
  | { readonly kind: 'unlimited'; readonly notice: LimitNotice };

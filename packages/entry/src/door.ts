/** What every listener of a node shares: who may do what now, and how refusals are told. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digestOf } from '@tanagercart/base';
import type { AccountId, Clock, Logger, Metrics, NodeId } from '@tanagercart/base';
import { notRun } from '@tanagercart/dispatch';
import type { Dispatch, Orders, Refusal } from '@tanagercart/dispatch';
import type { ConfigurationLease, Upstreams } from '@tanagercart/membership';
import type { ClientAccount } from '@tanagercart/release';
import type { SharedState } from '@tanagercart/state';

/** Limits on what callers send. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly answerTokens: number;
}

/** What the callers' listener needs. */
export interface DoorOptions {
  readonly self: NodeId;
  readonly state: SharedState;
  readonly lease: ConfigurationLease;
  readonly dispatch: Dispatch;
  readonly orders: Orders;
  readonly upstreams: Upstreams;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly limits: CallerLimits;
  /** Base URLs of nodes for an account, best first. */
  readonly entries: (account: AccountId | undefined) => readonly string[];
  readonly draining: () => boolean;
}

/** Decides on new work and refuses it where it cannot be taken. */
export class Door {
  private constructor(readonly o: DoorOptions) {}

  static create(options: DoorOptions): Door {
    return new Door(options);
  }

  /** The account that the caller's key belongs to. */
  account(req: IncomingMessage): ClientAccount | undefined {
    const header = req.headers.authorization ?? '';
    const [scheme, key] = header.split(' ');
    if (scheme?.toLowerCase() !== 'bearer' || !key) return undefined;
    return this.o.state.release.accountByKey(digestOf(key));
  }

  /** Why this node takes no new work now, if so. */
  closed(): Refusal | undefined {
    if (this.o.draining()) return notRun('draining', 'this node is shutting down');
    if (!this.o.lease.valid) {
      return notRun('no-lease', 'this node is cut off from the others', 1000);
    }
    return undefined;
  }

  /**
   * The account of a request that may be taken now, else why not. Whoever waited since must ask
   * again: the lease may have lapsed meanwhile, and another release may be in force.
   */
  admit(req: IncomingMessage): Result<ClientAccount, Refusal> {
    const closed = this.closed();
    if (closed) return err(closed);
    const account = this.account(req);
    return account ? ok(account) : err(notRun('unauthorised', 'no account has this key'));
  }

  /** Sends and counts a refusal. */
  refuse(
    res: ServerResponse,
    refusal: Refusal,
    send: (res: ServerResponse, r: Refusal, e: readonly string[]) => void,
  ): void {
    this.o.metrics.count('refused', { reason: refusal.reason });
    const others = this.o.entries(undefined);
    send(res, refusal, others);
  }
}

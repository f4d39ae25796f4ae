/** What every listener of a node shares: who may do what now, and how refusals are told. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { digestOf } from '@tanagercart/base';
import type { AccountId, Clock, Logger, Metrics, NodeId, RequestId } from '@tanagercart/base';
import { notRun } from '@tanagercart/dispatch';
import type { Dispatch, Orders, Refusal } from '@tanagercart/dispatch';
import type { ConfigurationLease, UpstreamRegistry } from '@tanagercart/membership';
import type { ClientAccount } from '@tanagercart/release';
import type { SharedState } from '@tanagercart/state';
import type { AccountLimits } from './accountlimits.js';
import { callerOf } from './asker.js';
import type { Caller, EntryList } from './asker.js';
import { bearerOf } from './bearer.js';
import { ActiveRequests } from './inprogress.js';
import { entriesHelp, sendRefusal } from './refuse.js';

/** Header that names other entries to use from now on, best first. */
const entriesHeader = 'tanagercart-entries';

/** Header that tells for how many seconds they may be kept. */
const lifetimeHeader = 'tanagercart-entries-lifetime';

/** Limits on what callers send and on how slowly they do so. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly promptBytes: number;
  readonly answerTokens: number;
  readonly requestMs: number;
  readonly unreadMs: number;
}

/** What the callers' listener needs. */
export interface EntryOptions {
  readonly self: NodeId;
  readonly state: SharedState;
  readonly lease: ConfigurationLease;
  readonly dispatch: Dispatch;
  readonly orders: Orders;
  readonly upstreams: UpstreamRegistry;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly limits: CallerLimits;
  readonly accountLimits: AccountLimits;
  /** Key that upstreams must send with their announcements. */
  readonly upstreamKey?: string | undefined;
  /** Entries for a caller. */
  readonly entriesFor: (asker: Caller) => EntryList;
  /** Entries for a caller that had better leave this one, if so. */
  readonly betterEntriesFor: (asker: Caller) => EntryList | undefined;
  readonly isDraining: () => boolean;
}

/** The request that a refusal or a log line concerns. */
export interface RequestContext {
  readonly request?: RequestId | undefined;
  readonly account?: AccountId | undefined;
}

/** Decides on new work and refuses it where it cannot be taken. */
export class Entry {
  readonly activeRequests = ActiveRequests.create();

  private constructor(readonly options: EntryOptions) {}

  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** The account that the caller's key belongs to. */
  accountOf(req: IncomingMessage): ClientAccount | undefined {
    const key = bearerOf(req);
    return key === undefined ? undefined : this.options.state.release.accountByKey(digestOf(key));
  }

  /** Why this node takes no new work now, if so. */
  closedRefusal(): Refusal | undefined {
    if (this.options.isDraining()) return notRun('draining', 'this node is shutting down');
    if (!this.options.lease.valid) {
      return notRun('no-lease', 'this node is cut off from the others', 1000);
    }
    return undefined;
  }

  /**
   * The account of a request that may be taken now, else why not. Whoever waited since must ask
   * again: the lease may have lapsed meanwhile, and another release may be in force.
   */
  admit(req: IncomingMessage): Result<ClientAccount, Refusal> {
    const closed = this.closedRefusal();
    if (closed) return err(closed);
    const account = this.accountOf(req);
    return account ? ok(account) : err(notRun('unauthorised', 'no account has this key'));
  }

  /** Names other entries on an answer where this node is loaded or takes no new work. */
  suggestEntries(req: IncomingMessage, res: ServerResponse): void {
    const asker = callerOf(req, this.accountOf(req)?.id);
    const advice = this.closedRefusal()
      ? this.options.entriesFor(asker)
      : this.options.betterEntriesFor(asker);
    if (!advice || advice.entries.length === 0) return;
    this.options.metrics.count('moved', { reason: this.closedRefusal()?.reason ?? 'load' });
    nameEntries(res, advice);
  }

  /** Sends, counts and logs a refusal. */
  refuse(res: ServerResponse, refusal: Refusal, about: RequestContext = {}): void {
    this.recordRefusal(refusal, about);
    const helped = entriesHelp(refusal) && !res.getHeader(entriesHeader);
    const account = about.account ?? this.accountOf(res.req)?.id;
    if (helped) nameEntries(res, this.options.entriesFor(callerOf(res.req, account)));
    sendRefusal(res, refusal, namedEntries(res));
  }

  /** Counts and logs a refusal that is told in another way. */
  recordRefusal(refusal: Refusal, about: RequestContext): void {
    const { reason, run, message } = refusal;
    this.options.metrics.count('refused', { reason });
    this.options.logger.info('Refused.', { ...about, reason, run, detail: message });
  }
}

function nameEntries(res: ServerResponse, advice: EntryList): void {
  if (advice.entries.length === 0) return;
  res.setHeader(entriesHeader, advice.entries.join(', '));
  res.setHeader(lifetimeHeader, String(Math.ceil(advice.lifetimeMs / 1000)));
}

/** The entries that an answer names already. */
function namedEntries(res: ServerResponse): readonly string[] {
  const named = res.getHeader(entriesHeader);
  return named === undefined ? [] : String(named).split(', ');
}

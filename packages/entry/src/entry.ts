/**
 * Admission of callers' requests, and the refusals that all handlers of a node's listener for
 * callers send. A node that drains or whose lease has lapsed admits nothing; its refusals name
 * other entries.
 */

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
import { callerOf } from './caller.js';
import type { Caller, EntryList } from './caller.js';
import { bearerOf } from './bearer.js';
import { ActiveRequests } from './inprogress.js';
import { isLocalRefusal, sendRefusal } from './refusal.js';

/** Header with the base URLs of other entries to use from now on, best first. */
const entriesHeader = 'tanagercart-entries';

/** Header with the time for which the caller may use these entries, in seconds. */
const entriesLifetimeHeader = 'tanagercart-entries-lifetime';

/** Limits on the size of requests and answers, and on slow callers. */
export interface CallerLimits {
  readonly bodyBytes: number;
  readonly headerBytes: number;
  readonly promptBytes: number;
  /** Most tokens of one answer. */
  readonly answerTokens: number;
  /** Longest time in which a whole request must arrive. */
  readonly requestMs: number;
  /** Longest time for which a caller may leave sent data unread. */
  readonly unreadMs: number;
}

/** Parts of the node and settings that the listener for callers uses. */
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
  /** Key that upstreams must send with their announcements; not checked where undefined. */
  readonly upstreamKey?: string | undefined;
  /** The entries that a caller should use, best first. */
  readonly entriesFor: (caller: Caller) => EntryList;
  /** Entries for a caller that should leave this node, as it is loaded; undefined otherwise. */
  readonly betterEntriesFor: (caller: Caller) => EntryList | undefined;
  readonly isDraining: () => boolean;
}

/** Fields that identify a request in log lines. */
export interface RequestContext {
  readonly request?: RequestId | undefined;
  readonly account?: AccountId | undefined;
}

/** Admits or refuses requests, and tracks those in progress. */
export class Entry {
  readonly activeRequests = ActiveRequests.create();

  private constructor(readonly options: EntryOptions) {}

  static create(options: EntryOptions): Entry {
    return new Entry(options);
  }

  /** The account that the bearer key of a request belongs to. */
  accountOf(req: IncomingMessage): ClientAccount | undefined {
    const key = bearerOf(req);
    return key === undefined ? undefined : this.options.state.release.accountByKey(digestOf(key));
  }

  /** The refusal for new requests while this node admits none; undefined while it admits them. */
  closedRefusal(): Refusal | undefined {
    if (this.options.isDraining()) return notRun('draining', 'this node is shutting down');
    if (!this.options.lease.valid) {
      return notRun('no-lease', 'this node is cut off from the others', 1000);
    }
    return undefined;
  }

  /**
   * Admits a request and returns its account, or returns a refusal. A handler that has waited
   * since, for example for the body, must call this again: the lease may have lapsed meanwhile, and
   * another release may be in force.
   */
  admit(req: IncomingMessage): Result<ClientAccount, Refusal> {
    const closed = this.closedRefusal();
    if (closed) return err(closed);
    const account = this.accountOf(req);
    return account ? ok(account) : err(notRun('unauthorised', 'no account has this key'));
  }

  /** Adds headers with other entries to an answer if this node is loaded or admits no requests. */
  suggestEntries(req: IncomingMessage, res: ServerResponse): void {
    const caller = callerOf(req, this.accountOf(req)?.id);
    const suggested = this.closedRefusal()
      ? this.options.entriesFor(caller)
      : this.options.betterEntriesFor(caller);
    if (!suggested || suggested.entries.length === 0) return;
    this.options.metrics.count('moved', { reason: this.closedRefusal()?.reason ?? 'load' });
    setEntryHeaders(res, suggested);
  }

  /**
   * Sends, counts and logs a refusal. The refusal names other entries if another node may accept
   * the request.
   */
  refuse(res: ServerResponse, refusal: Refusal, context: RequestContext = {}): void {
    this.recordRefusal(refusal, context);
    const listsEntries = isLocalRefusal(refusal) && !res.getHeader(entriesHeader);
    const account = context.account ?? this.accountOf(res.req)?.id;
    if (listsEntries) setEntryHeaders(res, this.options.entriesFor(callerOf(res.req, account)));
    sendRefusal(res, refusal, listedEntries(res));
  }

  /** Counts and logs a refusal that is sent in another way, such as an event of a stream. */
  recordRefusal(refusal: Refusal, context: RequestContext): void {
    const { reason, run, message } = refusal;
    this.options.metrics.count('refused', { reason });
    this.options.logger.info('Refused.', { ...context, reason, run, detail: message });
  }
}

function setEntryHeaders(res: ServerResponse, list: EntryList): void {
  if (list.entries.length === 0) return;
  res.setHeader(entriesHeader, list.entries.join(', '));
  res.setHeader(entriesLifetimeHeader, String(Math.ceil(list.lifetimeMs / 1000)));
}

/** The entries that the headers of an answer name already. */
function listedEntries(res: ServerResponse): readonly string[] {
  const header = res.getHeader(entriesHeader);
  return header === undefined ? [] : String(header).split(', ');
}

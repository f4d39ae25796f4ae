/** What the choice of entry nodes for a caller depends on, and the entries that it receives. */

import type { IncomingMessage } from 'node:http';
import type { AccountId, Millis } from '@tanagercart/base';

/** Header with a name that distinguishes callers behind one address. */
const callerHeader = 'tanagercart-caller';

/** Header with the data centre that is nearest to the caller. */
const nearHeader = 'tanagercart-near';

/** Longest value that is read from a header or a query, in characters; the rest is cut off. */
const maxNameLength = 200;

/** A caller that may be sent to another entry. */
export interface Caller {
  readonly account: AccountId | undefined;
  /** Distinguishes the callers of one account. */
  readonly name: string;
  /** Data centre that is nearest to the caller. */
  readonly near: string | undefined;
  /** Base URL of the entry that the caller uses now. */
  readonly held: string | undefined;
}

/** The entries that a caller should use. */
export interface EntryList {
  /** Base URLs, best first. */
  readonly entries: readonly string[];
  /** How long the caller may use them before it asks again. */
  readonly lifetimeMs: Millis;
}

/**
 * Reads the caller from a request. The query takes precedence over headers; the remote address
 * replaces a missing name.
 */
export function callerOf(req: IncomingMessage, account: AccountId | undefined): Caller {
  const query = new URLSearchParams(req.url?.split('?')[1] ?? '');
  const read = (name: string, header?: string) => {
    const value = query.get(name) ?? (header && req.headers[header]);
    return value ? String(value).slice(0, maxNameLength) : undefined;
  };
  return {
    account,
    name: read('caller', callerHeader) ?? req.socket.remoteAddress ?? '',
    near: read('near', nearHeader),
    held: read('held'),
  };
}

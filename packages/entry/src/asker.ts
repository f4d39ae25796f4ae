/** Who asks for entries, and what such a caller is told. */

import type { IncomingMessage } from 'node:http';
import type { AccountId, Millis } from '@tanagercart/base';

/** Header by which the callers behind one address may tell themselves apart. */
const callerHeader = 'tanagercart-caller';

/** Header that names the data centre that a caller is near to. */
const nearHeader = 'tanagercart-near';

/** Longest name that is read from a header or a query, in characters. */
const longestName = 200;

/** A caller that may be sent to another entry. */
export interface Caller {
  readonly account: AccountId | undefined;
  /** Tells the callers of one account apart. */
  readonly name: string;
  /** Data centre that the caller is near to. */
  readonly near: string | undefined;
  /** Base URL of the entry that the caller uses. */
  readonly held: string | undefined;
}

/** Where a caller should go. */
export interface EntryList {
  /** Base URLs, best first. */
  readonly entries: readonly string[];
  /** How long the caller may keep them. */
  readonly lifetimeMs: Millis;
}

/** Reads who asks: the query goes before headers, and the address stands in for a missing name. */
export function callerOf(req: IncomingMessage, account: AccountId | undefined): Caller {
  const query = new URLSearchParams(req.url?.split('?')[1] ?? '');
  const read = (name: string, header?: string) => {
    const value = query.get(name) ?? (header && req.headers[header]);
    return value ? String(value).slice(0, longestName) : undefined;
  };
  return {
    account,
    name: read('caller', callerHeader) ?? req.socket.remoteAddress ?? '',
    near: read('near', nearHeader),
    held: read('held'),
  };
}

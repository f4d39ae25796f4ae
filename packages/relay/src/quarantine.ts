/** Requests that crash the upstreams that run them are refused everywhere. */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { Call } from './call.js';

/** What all entries together know of such requests. */
export interface Quarantine {
  isEmpty(): boolean;
  has(fingerprint: Digest): boolean;
  /** Counts a crash against a request. */
  recordCrash(fingerprint: Digest): void;
}

/** Names all requests of one account with the same path and body. */
export function fingerprintOf(call: Call): Digest {
  const { route, path, method, account, body } = call;
  const head = [route.host, method, path, account ?? ''].join('\n');
  return digestOf(Buffer.concat([Buffer.from(`${head}\n`), body]));
}

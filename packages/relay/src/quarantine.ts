/**
 * Quarantine of poison requests. Protects against a request that crashes each upstream that runs
 * it: all entries refuse it.
 */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { Call } from './call.js';

/** The poison requests of the whole fleet, by fingerprint. */
export interface Quarantine {
  isEmpty(): boolean;
  has(fingerprint: Digest): boolean;
  /** Reports that a request may have crashed an upstream. */
  recordCrash(fingerprint: Digest): void;
}

/** Digest of host, method, path, account and body: the same for each repeat of a request. */
export function fingerprintOf(call: Call): Digest {
  const { route, path, method, account, body } = call;
  const head = [route.host, method, path, account ?? ''].join('\n');
  return digestOf(Buffer.concat([Buffer.from(`${head}\n`), body]));
}

/**
 * Quarantine of poison requests. Protects against a request, or a part of prompts, that crashes
 * each upstream that runs it: all entries refuse it.
 */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { UpstreamCrash } from '@tanagercart/protocol';
import type { Call } from './call.js';

/** What the whole fleet knows of crashes, by fingerprint of a request or name of a part. */
export interface Quarantine {
  isEmpty(): boolean;
  has(subject: string): boolean;
  /** Whether anything is suspected at all. */
  hasSuspects(): boolean;
  /** Whether upstreams crashed with the request or part, and no answer to it was seen since. */
  isSuspected(subject: string): boolean;
  /** Reports that an upstream crashed while it ran a request. */
  recordCrash(crash: UpstreamCrash): void;
  /** Reports that a suspected request or part was answered. */
  recordAnswer(subject: string): void;
}

/** Names the shared parts of the prompt of a request, the same on all entries. */
export function sharedPartsOf({ service, sharedParts }: Call): readonly string[] {
  return sharedParts.map((part) => `part ${service.id} ${part}`);
}

/** Digest of host, method, path, account and body: the same for each repeat of a request. */
export function fingerprintOf(call: Call): Digest {
  const { route, path, method, account, body } = call;
  const head = [route.host, method, path, account ?? ''].join('\n');
  return digestOf(Buffer.concat([Buffer.from(`${head}\n`), body]));
}

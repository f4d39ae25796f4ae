/**
 * Quarantine of poison requests. Protects against a request that crashes each upstream that runs
 * it: all entries refuse it.
 */

import { digestOf } from '@tanagercart/base';
import type { Digest } from '@tanagercart/base';
import type { PartCrash } from '@tanagercart/protocol';
import type { Call } from './call.js';

/** The poison requests of the whole fleet, by fingerprint. */
export interface Quarantine {
  isEmpty(): boolean;
  has(fingerprint: Digest): boolean;
  /** Reports that a request may have crashed an upstream. */
  recordCrash(fingerprint: Digest): void;
  /** Whether a part of prompts is quarantined. */
  hasPart(part: string): boolean;
  /** Whether upstreams crashed with the part, and no answer to it was seen since. */
  isPartSuspected(part: string): boolean;
  /** Reports that an upstream crashed when it was about to answer a prompt with these parts. */
  recordPartCrash(crash: PartCrash): void;
  /** Reports that a suspected part was answered. */
  recordPartAnswered(part: string): void;
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

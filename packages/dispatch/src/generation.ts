/** A request for an answer of a model, and the events that make up the answer. */

import { digestOf } from '@tanagercart/base';
import type { Digest, RequestId } from '@tanagercart/base';
import type { ClientAccount, Model, Tier } from '@tanagercart/release';
import type { FinishReason } from '@tanagercart/upstream';
import type { Refusal } from './refusal.js';

/** A request for an answer, validated and authorised under one release. */
export interface GenerationRequest {
  readonly id: RequestId;
  readonly account: ClientAccount;
  readonly tier: Tier;
  readonly model: Model;
  readonly version: string;
  readonly adapter: string | undefined;
  readonly release: number;
  readonly prompt: string;
  readonly seed: number;
  readonly maxTokens: number;
  /** Tokens that the caller has from an earlier entry node. The answer continues after them. */
  readonly passed?: readonly string[];
}

/** What the caller is sent. `end` or `refused` comes once, as the last event. */
export type AnswerEvent =
  /** One or more tokens that arrived together. `index` is the position of the first one. */
  | { readonly kind: 'tokens'; readonly tokens: readonly string[]; readonly index: number }
  | { readonly kind: 'end'; readonly reason: FinishReason; readonly tokens: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Fingerprint of a request for the quarantine, over all that an engine receives but the seed. */
export function fingerprintOf(request: GenerationRequest): Digest {
  return digestOf(
    JSON.stringify([request.model.id, request.version, request.adapter ?? null, request.prompt]),
  );
}

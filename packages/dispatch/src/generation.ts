/** A request for an answer, and the pieces of the answer. */

import { digestOf } from '@tanagercart/base';
import type { Digest, RequestId } from '@tanagercart/base';
import type { ClientAccount, Model, Tier } from '@tanagercart/release';
import type { FinishReason } from '@tanagercart/upstream';
import type { Refusal } from './refusal.js';

/** A request for an answer, checked and judged under one release. */
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
  /** Tokens that the caller has from an earlier entry; the answer goes on after them. */
  readonly passed?: readonly string[];
}

/** What the caller is sent; `end` or `refused` comes last, and once. */
export type AnswerEvent =
  /** Tokens that came together, at least one; `index` is the place of the first. */
  | { readonly kind: 'tokens'; readonly tokens: readonly string[]; readonly index: number }
  | { readonly kind: 'end'; readonly reason: FinishReason; readonly tokens: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** What makes two requests the same for quarantine: all that an engine sees of them, save the seed. */
export function fingerprintOf(request: GenerationRequest): Digest {
  return digestOf(
    JSON.stringify([request.model.id, request.version, request.adapter ?? null, request.prompt]),
  );
}

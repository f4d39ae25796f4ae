/**
 * Assembles the answer to one request from the token frames of its attempts. Protects the caller
 * against duplicate, late and misrouted frames, and against pipelines that left out a layer.
 */

import { invariant } from '@tanagercart/base';
import type { RequestId } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import type { StageReceipt, TokenFrame } from '@tanagercart/upstream';

/** What happens to a frame. */
export type FrameResult =
  /** The frame holds the next token of the answer. */
  | { readonly kind: 'next'; readonly token: string }
  /** The frame is late, repeated or of another request. It is dropped and counted. */
  | { readonly kind: 'drop'; readonly reason: 'other-request' | 'old-attempt' | 'repeated' }
  /** The answer cannot continue after this frame, so the attempt fails. */
  | { readonly kind: 'fault'; readonly detail: string };

/**
 * The answer to one request so far. Each token is accepted once, in order, and only from the
 * current attempt.
 */
export class Assembly {
  private readonly tokens: string[] = [];
  private attempt = 0;
  private grant: Grant | undefined;

  private constructor(private readonly request: RequestId) {}

  /** `passed` holds the tokens that the caller already has from an earlier entry node. */
  static create(request: RequestId, passed: readonly string[] = []): Assembly {
    const assembly = new Assembly(request);
    assembly.tokens.push(...passed);
    return assembly;
  }

  /** The tokens of the answer so far, including those that the caller had before. */
  get passed(): readonly string[] {
    return this.tokens;
  }

  /** Starts the next attempt under `grant` and returns its number, counted from 1. */
  beginAttempt(grant: Grant): number {
    this.attempt += 1;
    this.grant = grant;
    return this.attempt;
  }

  /** Appends the token of a frame if it is the next one of the answer. */
  add(frame: TokenFrame): FrameResult {
    if (frame.request !== this.request) return { kind: 'drop', reason: 'other-request' };
    if (frame.attempt !== this.attempt) return { kind: 'drop', reason: 'old-attempt' };
    if (frame.index < this.tokens.length) return { kind: 'drop', reason: 'repeated' };
    if (frame.index > this.tokens.length) {
      return { kind: 'fault', detail: `token ${this.tokens.length} is missing` };
    }
    const fault = this.receiptFault(frame.receipts);
    if (fault) return { kind: 'fault', detail: fault };
    this.tokens.push(frame.token);
    invariant(this.tokens.length === frame.index + 1, 'tokens are passed on in order');
    return { kind: 'next', token: frame.token };
  }

  /**
   * Returns what is wrong with the receipts of a token. They must match the stages of the grant, so
   * that every layer ran once and in order.
   */
  private receiptFault(receipts: readonly StageReceipt[]): string | undefined {
    const stages = this.grant?.stages ?? [];
    const matches =
      receipts.length === stages.length &&
      receipts.every((r, i) => r.from === stages[i]!.from && r.to === stages[i]!.to);
    return matches ? undefined : 'the stage receipts do not cover every layer once';
  }
}

/** Assembles the answer to one request from the frames of its attempts. */

import { invariant } from '@tanagercart/base';
import type { RequestId } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import type { StageReceipt, TokenFrame } from '@tanagercart/upstream';

/** What becomes of a frame. */
export type FrameResult =
  | { readonly kind: 'next'; readonly token: string }
  /** Late, repeated or another request's: dropped and counted. */
  | { readonly kind: 'drop'; readonly reason: 'other-request' | 'old-attempt' | 'repeated' }
  /** The attempt cannot go on. */
  | { readonly kind: 'fault'; readonly detail: string };

/** Judges frames so that each token is passed on once, in order, from the current attempt. */
export class Assembly {
  private readonly tokens: string[] = [];
  private attempt = 0;
  private grant: Grant | undefined;

  private constructor(private readonly request: RequestId) {}

  static create(request: RequestId, passed: readonly string[] = []): Assembly {
    const assembly = new Assembly(request);
    assembly.tokens.push(...passed);
    return assembly;
  }

  /** The tokens passed on so far. */
  get passed(): readonly string[] {
    return this.tokens;
  }

  /** Starts the next attempt under `grant`; returns its number. */
  beginAttempt(grant: Grant): number {
    this.attempt += 1;
    this.grant = grant;
    return this.attempt;
  }

  /** Judges one frame. */
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

  /** What is wrong with the receipts of a token, if they do not cover every layer once and in order. */
  private receiptFault(receipts: readonly StageReceipt[]): string | undefined {
    const stages = this.grant?.stages ?? [];
    const same =
      receipts.length === stages.length &&
      receipts.every((r, i) => r.from === stages[i]!.from && r.to === stages[i]!.to);
    return same ? undefined : 'the stage receipts do not cover every layer once';
  }
}

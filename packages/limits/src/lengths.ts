/** How long the answers of an account are likely to be. */

import type { AccountId } from '@tanagercart/base';

/** Tokens expected of the first answer of an account. */
const firstGuess = 256;

/** Weight of the newest answer in the average. */
const newest = 0.1;

/** Accounts that are remembered at most. */
const remembered = 20_000;

/** A moving average of the answers of each account, in tokens. */
export class AnswerLengths {
  private readonly averages = new Map<AccountId, number>();

  static create(): AnswerLengths {
    return new AnswerLengths();
  }

  /** Tokens expected of the next answer, which may have `most`. */
  estimate(account: AccountId, most: number): number {
    return Math.min(most, Math.ceil(this.averages.get(account) ?? firstGuess));
  }

  /** Notes an answer of `tokens` tokens. */
  observe(account: AccountId, tokens: number): void {
    const before = this.averages.get(account) ?? tokens;
    if (this.averages.size >= remembered) this.averages.clear();
    this.averages.set(account, before + (tokens - before) * newest);
  }
}

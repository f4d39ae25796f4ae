/** Estimates the length of the answers of each account, to reserve tokens before a request runs. */

import type { AccountId } from '@tanagercart/base';

/** Tokens expected of the first answer of an account. */
const initialTokens = 256;

/** Weight of the newest answer in the moving average. */
const newestWeight = 0.1;

/** Bounds the memory for averages; all are dropped when that many accounts are stored. */
const maxAccounts = 20_000;

/** An exponential moving average of the tokens of the answers of each account. */
export class AnswerLengths {
  private readonly averages = new Map<AccountId, number>();

  static create(): AnswerLengths {
    return new AnswerLengths();
  }

  /** Tokens expected of the next answer, which may have at most `maxTokens`. */
  estimate(account: AccountId, maxTokens: number): number {
    return Math.min(maxTokens, Math.ceil(this.averages.get(account) ?? initialTokens));
  }

  /** Includes an answer of `tokens` tokens in the average. */
  observe(account: AccountId, tokens: number): void {
    const average = this.averages.get(account) ?? tokens;
    if (this.averages.size >= maxAccounts) this.averages.clear();
    this.averages.set(account, average + (tokens - average) * newestWeight);
  }
}

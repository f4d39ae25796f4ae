/** Limits of client accounts, as the listener for callers applies them. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { notRun } from '@tanagercart/dispatch';
import type { Generation, Refusal } from '@tanagercart/dispatch';
import { AnswerLengths } from '@tanagercart/limits';
import type { Admission, LimitedRequest, Limiter } from '@tanagercart/limits';
import type { ClientAccount, Tier } from '@tanagercart/release';

/** Admits requests within the limits of their account and tier. */
export class AccountLimits {
  private readonly lengths = AnswerLengths.create();

  private constructor(private readonly limiter: Limiter) {}

  static create(limiter: Limiter): AccountLimits {
    return new AccountLimits(limiter);
  }

  /** Admits a request for an answer, which must be settled with its tokens. */
  async admitAnswer(g: Generation): Promise<Result<Admission, Refusal>> {
    const { id } = g.account;
    const expectedTokens = this.lengths.estimate(id, g.maxTokens);
    const admitted = await this.admit(g.account, g.tier, expectedTokens);
    return admitted.map(({ settle }) => ({
      settle: (tokens: number) => {
        if (tokens > 0) this.lengths.observe(id, tokens);
        settle(tokens);
      },
    }));
  }

  /** Admits a call of a service, which must be settled. */
  admitCall(account: ClientAccount, tier: Tier): Promise<Result<Admission, Refusal>> {
    return this.admit(account, tier, 0);
  }

  private async admit(
    account: ClientAccount,
    tier: Tier,
    expectedTokens: number,
  ): Promise<Result<Admission, Refusal>> {
    const request: LimitedRequest = {
      account: account.id,
      tier: tier.id,
      quota: tier,
      expectedTokens,
    };
    const admitted = await this.limiter.admit(request);
    if (admitted.isOk()) return ok(admitted.value);
    const { limit, retryAfterMs } = admitted.error;
    const message = `the ${limit} of account "${account.id}" in tier "${tier.id}" are used up`;
    return err(notRun('account-limit', message, retryAfterMs));
  }
}

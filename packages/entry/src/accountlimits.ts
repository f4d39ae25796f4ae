/** Admission of requests under the limits of client accounts. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { notRun } from '@tanagercart/dispatch';
import type { GenerationRequest, Refusal } from '@tanagercart/dispatch';
import { AnswerLengths } from '@tanagercart/limits';
import type { Admission, LimitedRequest, Limiter } from '@tanagercart/limits';
import type { ClientAccount, Tier } from '@tanagercart/release';

/** Admits requests within the concurrency and rates of their account and tier. */
export class AccountLimits {
  private readonly answerLengths = AnswerLengths.create();

  private constructor(private readonly limiter: Limiter) {}

  static create(limiter: Limiter): AccountLimits {
    return new AccountLimits(limiter);
  }

  /**
   * Admits a request for an answer, with an estimate of its length. The caller of this method must
   * settle the admission with the number of tokens that were generated.
   */
  async admitAnswer(generation: GenerationRequest): Promise<Result<Admission, Refusal>> {
    const { id } = generation.account;
    const expectedTokens = this.answerLengths.estimate(id, generation.maxTokens);
    const admitted = await this.admit(generation.account, generation.tier, expectedTokens);
    return admitted.map(({ settle }) => ({
      settle: (tokens: number) => {
        if (tokens > 0) this.answerLengths.observe(id, tokens);
        settle(tokens);
      },
    }));
  }

  /** Admits a call to a service. The caller of this method must settle the admission. */
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

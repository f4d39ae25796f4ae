/** Decides whether a failed attempt is followed by another one. */

import type {
  AccountId,
  Clock,
  Logger,
  Metrics,
  Millis,
  Random,
  ReplicaId,
} from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import { RetryBudgets } from './budget.js';
import { ruleOf } from './cause.js';
import type { RetryCause } from './cause.js';
import type { RequestProgress } from './progress.js';
import type { Refusal } from './refusal.js';
import { notRun } from './refusal.js';
import { ReplicaBackoff } from './replicabackoff.js';

/** Bounds the charged attempts of one request. */
const maxAttempts = 4;

/** Backoff before the second attempt, in milliseconds, before jitter. Doubles with each attempt. */
const initialBackoffMs: Millis = 20;

/** Dependencies of the retry policy. */
export interface RetryPolicyOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Limits retries by the cause of a failure, the retry budgets and the deadline of the request. */
export class RetryPolicy {
  private readonly budgets = RetryBudgets.create();
  private readonly replicaBackoff: ReplicaBackoff;

  private constructor(private readonly o: RetryPolicyOptions) {
    this.replicaBackoff = ReplicaBackoff.create(o.clock, o.random);
  }

  static create(options: RetryPolicyOptions): RetryPolicy {
    return new RetryPolicy(options);
  }

  /** Replicas to use only if no other has a free slot, as they failed a moment ago. */
  get lastResort(): readonly ReplicaId[] {
    return this.replicaBackoff.list();
  }

  /** Records a new request of an account that may send `ratio` retries per request. */
  recordRequest(account: AccountId, ratio: number): void {
    this.budgets.recordRequest(account, ratio);
  }

  /** Records that a replica sent a token. */
  recordSuccess(replica: ReplicaId): void {
    this.replicaBackoff.recordSuccess(replica);
  }

  /**
   * Decides on another attempt after one failed. Resolves, after the backoff, to undefined if there
   * is another attempt, and to the refusal for the caller otherwise.
   */
  async decide(
    progress: RequestProgress,
    grant: Grant,
    cause: RetryCause,
  ): Promise<Refusal | undefined> {
    const rule = ruleOf(cause);
    const { request, assembly } = progress;
    progress.deadline.recordInterruption();
    progress.mayHaveRun ||= rule.mayHaveRun;
    this.o.metrics.count('retry.cause', { reason: cause.kind });
    this.o.logger.info('Attempt failed.', {
      request: request.id,
      account: request.account.id,
      reason: cause.kind,
      detail: 'detail' in cause ? cause.detail : undefined,
    });
    if (rule.avoided) this.replicaBackoff.recordFailure(grant.replica);
    if (!rule.charged) return undefined;
    progress.failedGrants.push(grant);
    progress.charged += 1;
    if (progress.charged >= maxAttempts) return notRun('upstream-failed', 'every attempt failed');
    if (progress.deadline.leftMs(assembly.passed.length) <= 0) {
      return notRun('deadline', 'the promise ran out after a failed attempt');
    }
    if (tryResume(progress)) {
      this.o.metrics.count('resume', { reason: cause.kind });
      return undefined;
    }
    if (!this.budgets.tryWithdraw(request.account.id, request.tier.retryBudget)) {
      return notRun('retry-budget', 'the retry budget is used up', 1000);
    }
    this.o.metrics.count('retry', { reason: cause.kind });
    await this.backOff(progress);
    return undefined;
  }

  private backOff(progress: RequestProgress): Promise<void> {
    const ms = initialBackoffMs * 2 ** (progress.charged - 1) * (0.5 + this.o.random.next());
    return this.o.clock.sleep(ms, progress.signal);
  }
}

/**
 * Whether an interrupted stream resumes at once, outside of the retry budgets. Each stream may do
 * so once, so that there are never more resumes than interrupted streams. Marks it as used.
 */
function tryResume(p: RequestProgress): boolean {
  if (p.hasResumed || p.assembly.passed.length === (p.request.passed?.length ?? 0)) return false;
  p.hasResumed = true;
  return true;
}

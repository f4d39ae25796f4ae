/** Decides after a failed attempt whether there is another one. */

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
import { Avoidance } from './avoidance.js';
import { RetryBudgets } from './budget.js';
import { ruleOf } from './cause.js';
import type { RetryCause } from './cause.js';
import type { Dispatching } from './dispatching.js';
import type { Refusal } from './refusal.js';
import { notRun } from './refusal.js';

/** Charged attempts for one request at most. */
const attemptLimit = 4;

/** Pause before the second attempt, in milliseconds; doubles with each and is spread by jitter. */
const backoffMs: Millis = 20;

/** What deciding on retries needs. */
export interface RetryOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Applies the rules of each cause, the budgets and the promise. */
export class Retries {
  private readonly budgets = RetryBudgets.create();
  private readonly avoidance: Avoidance;

  private constructor(private readonly o: RetryOptions) {
    this.avoidance = Avoidance.create(o.clock, o.random);
  }

  static create(options: RetryOptions): Retries {
    return new Retries(options);
  }

  /** Replicas to use only where no other has room. */
  get shunned(): readonly ReplicaId[] {
    return this.avoidance.list();
  }

  /** Notes a new request of an account that may retry `share` of its requests. */
  request(account: AccountId, share: number): void {
    this.budgets.request(account, share);
  }

  /** Notes that a replica sent a token. */
  worked(replica: ReplicaId): void {
    this.avoidance.worked(replica);
  }

  /** Decides on another attempt; yields the refusal where there is none. */
  async decide(d: Dispatching, grant: Grant, cause: RetryCause): Promise<Refusal | undefined> {
    const rule = ruleOf(cause);
    const { g, assembly } = d;
    d.promise.interrupted();
    d.mayHaveRun ||= rule.mayHaveRun;
    this.o.metrics.count('retry.cause', { reason: cause.kind });
    this.o.logger.info('Attempt failed.', {
      request: g.id,
      account: g.account.id,
      reason: cause.kind,
      detail: 'detail' in cause ? cause.detail : undefined,
    });
    if (rule.avoided) this.avoidance.failed(grant.replica);
    if (!rule.charged) return undefined;
    d.failed.push(grant);
    d.charged += 1;
    if (d.charged >= attemptLimit) return notRun('upstream-failed', 'every attempt failed');
    if (d.promise.leftMs(assembly.passed.length) <= 0) {
      return notRun('deadline', 'the promise ran out after a failed attempt');
    }
    if (mayResume(d)) {
      this.o.metrics.count('resume', { reason: cause.kind });
      return undefined;
    }
    if (!this.budgets.take(g.account.id, g.tier.retryBudget)) {
      return notRun('retry-budget', 'the retry budget is used up', 1000);
    }
    this.o.metrics.count('retry', { reason: cause.kind });
    await this.backOff(d);
    return undefined;
  }

  private backOff(d: Dispatching): Promise<void> {
    const ms = backoffMs * 2 ** (d.charged - 1) * (0.5 + this.o.random.next());
    return this.o.clock.sleep(ms, d.signal);
  }
}

/**
 * Whether an interrupted stream goes on at once and unpaid: the first time only, so that
 * resumes never outnumber the streams that were cut.
 */
function mayResume(d: Dispatching): boolean {
  if (d.resumed || d.assembly.passed.length === (d.g.passed?.length ?? 0)) return false;
  d.resumed = true;
  return true;
}

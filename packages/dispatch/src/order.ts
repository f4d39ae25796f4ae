/**
 * Calls to services that are not models. Repeatable calls are retried. All others are orders, which
 * are placed at most once: the entry claims the idempotency key of an order in the shared state,
 * sends the order, and records the outcome under the key.
 */

import { Bell, digestOf, unreachable } from '@tanagercart/base';
import type {
  AccountId,
  Clock,
  Digest,
  Logger,
  Metrics,
  Millis,
  NodeId,
  RequestId,
} from '@tanagercart/base';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { claimExpiryMs, maxRecordedBodyChars } from '@tanagercart/state';
import type {
  CommandProposer,
  OrderKey,
  OrderOutcome,
  Outcome,
  Upstream,
} from '@tanagercart/state';
import type {
  SendError,
  ServiceResponse,
  ServiceRequest,
  ServiceClient,
} from '@tanagercart/upstream';
import { RetryBudgets } from './budget.js';
import type { Refusal } from './refusal.js';
import { maybeRun, notRun } from './refusal.js';

/** Timeout for a proposal that records a claim or an outcome, in milliseconds. */
const proposeTimeoutMs: Millis = 3000;

/** Timeout of a call to a service, in milliseconds. */
const callTimeoutMs: Millis = 30_000;

/** Pause before an outcome that was not recorded is proposed again, in milliseconds. */
const settleRetryMs: Millis = 500;

/** Pause before a claim that may or may not be committed is proposed again, in milliseconds. */
const claimRetryMs: Millis = 50;

/** Bounds the number of upstreams that one call is sent to. */
const maxAttempts = 3;

/** Retries that an account may send per repeatable call. */
const retryRatio = 0.1;

/** Syntax of an idempotency key: 1 to 200 characters of printable ASCII. */
const keyPattern = /^[\x21-\x7e]{1,200}$/;

/** A call to a service, before an upstream is chosen. */
export interface Order {
  readonly request: RequestId;
  readonly account: AccountId;
  readonly service: string;
  readonly path: string;
  readonly method: ServiceRequest['method'];
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Dependencies of `Orders`. */
export interface OrdersOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly proposals: CommandProposer;
  readonly services: ServiceClient;
  /** Upstreams of a service, in order of preference. */
  readonly upstreams: (service: string) => readonly Upstream[];
}

/** Sends the calls of callers to the upstreams of services. */
export class Orders {
  private readonly budgets = RetryBudgets.create();
  private unsettledCount = 0;
  private readonly settled = Bell.create();

  private constructor(private readonly o: OrdersOptions) {}

  static create(options: OrdersOptions): Orders {
    return new Orders(options);
  }

  /** Number of orders that this entry claimed and whose outcome is not recorded yet. */
  get unsettled(): number {
    return this.unsettledCount;
  }

  /** Resolves once every outcome is recorded or abandoned. Used when a node drains. */
  async untilSettled(): Promise<void> {
    while (this.unsettledCount > 0) await this.settled.wait();
  }

  private recordSettled(): void {
    this.unsettledCount -= 1;
    this.settled.ring();
  }

  /** Sends a repeatable call. Tries other upstreams after a failure, within the retry budgets. */
  async sendRepeatable(
    order: Order,
    signal?: AbortSignal,
  ): Promise<Result<ServiceResponse, Refusal>> {
    this.budgets.recordRequest(order.account, retryRatio);
    const upstreams = this.o.upstreams(order.service).slice(0, maxAttempts);
    let mayHaveRun = false;
    for (const [attempt, upstream] of upstreams.entries()) {
      if (attempt > 0 && !this.budgets.tryWithdraw(order.account, retryRatio)) break;
      const answer = await this.send(order, upstream, false, signal);
      if (answer.isOk()) return ok(answer.value);
      if (signal?.aborted) break;
      mayHaveRun ||= answer.error.kind === 'lost';
      this.o.metrics.count('retry', { reason: answer.error.kind });
    }
    if (mayHaveRun) return err(maybeRun('upstream-failed', 'every attempt failed'));
    return err(noUpstream());
  }

  /**
   * Places an order at most once under its idempotency key. A later copy of the order with the
   * same key receives the recorded outcome.
   */
  async placeOnce(order: Order, key: string): Promise<Result<ServiceResponse, Refusal>> {
    if (!keyPattern.test(key)) {
      return err(notRun('malformed', 'an Idempotency-Key has 1 to 200 printable characters'));
    }
    const orderKey: OrderKey = { account: order.account, key };
    const claimant = `${this.o.self}/${order.request}`;
    const startedAt = this.o.clock.now();
    this.unsettledCount += 1;
    const claimed = await this.claim(orderKey, digestOfOrder(order), claimant);
    if (claimed.kind !== 'claimed') {
      if (claimed.kind === 'doubtful') void this.settle(orderKey, claimant, { kind: 'not-run' });
      else this.recordSettled();
      return claimed.kind === 'known' ? answerOf(claimed.outcome) : err(claimed.refusal);
    }
    // The claim may have lapsed while the process was suspended. Another entry may hold it now, so
    // the order is not sent.
    if (this.o.clock.now() - startedAt >= claimExpiryMs) {
      void this.settle(orderKey, claimant, { kind: 'not-run' });
      return err(claimFailed());
    }
    const placed = await this.place(order);
    const settled = this.settle(orderKey, claimant, placed.outcome);
    // The caller may send an order that was not run again at once, so the claim is released first.
    if (placed.outcome.kind === 'not-run') await Promise.race([settled, this.proposeTimeout()]);
    return placed.answer;
  }

  /** Resolves after the timeout of a proposal. */
  private proposeTimeout(): Promise<void> {
    return this.o.clock.sleep(proposeTimeoutMs);
  }

  /** Claims an order, or returns the outcome that is recorded for it. */
  private async claim(order: OrderKey, digest: Digest, claimant: string): Promise<ClaimResult> {
    const at = this.o.clock.wall();
    const deadline = this.o.clock.now() + proposeTimeoutMs;
    const command = { kind: 'claim-order', order, digest, claimant, at } as const;
    let doubtful = false;
    for (;;) {
      const left = deadline - this.o.clock.now();
      const claimed = left > 0 ? await this.o.proposals.propose(command, left) : undefined;
      if (claimed?.isOk()) return claimResultOf(claimed.value.outcome);
      const unknown = claimed?.isErr() && claimed.error.kind === 'unknown';
      doubtful ||= unknown === true;
      // Proposing the claim again is idempotent, as the state identifies it by its claimant.
      if (unknown) {
        await this.o.clock.sleep(claimRetryMs);
        continue;
      }
      return { kind: doubtful ? 'doubtful' : 'refused', refusal: claimFailed() };
    }
  }

  /** Sends an order. Another upstream is tried only if the one before did not receive it. */
  private async place(order: Order): Promise<PlaceResult> {
    for (const upstream of this.o.upstreams(order.service).slice(0, maxAttempts)) {
      const answer = await this.send(order, upstream, true);
      if (answer.isOk()) return { outcome: outcomeOf(answer.value), answer: ok(answer.value) };
      this.o.metrics.count('retry', { reason: answer.error.kind });
      if (answer.error.kind === 'lost') return placeResultOf({ kind: 'unknown' });
    }
    return placeResultOf({ kind: 'not-run' });
  }

  private async send(
    order: Order,
    upstream: Upstream,
    once: boolean,
    callerSignal?: AbortSignal,
  ): Promise<Result<ServiceResponse, SendError>> {
    const { method, headers, body, path } = order;
    const request = { url: upstream.url + path, method, headers, body, once };
    const timeout = new AbortController();
    const finished = new AbortController();
    void this.o.clock.sleep(callTimeoutMs, finished.signal).then(() => timeout.abort());
    const answer = await this.o.services.send(
      request,
      callerSignal ? AbortSignal.any([callerSignal, timeout.signal]) : timeout.signal,
    );
    finished.abort();
    return answer;
  }

  /** Records an outcome. Repeats the proposal until it is committed or the claim has lapsed. */
  private async settle(order: OrderKey, claimant: string, outcome: OrderOutcome): Promise<void> {
    const command = { kind: 'settle-order', order, claimant, outcome } as const;
    const giveUpAt = this.o.clock.now() + claimExpiryMs;
    for (;;) {
      const settled = await this.o.proposals.propose(command, proposeTimeoutMs);
      if (settled.isOk()) break;
      this.o.metrics.count('order.settle-again');
      if (this.o.clock.now() >= giveUpAt) {
        this.o.logger.warn('Failed to record the outcome of an order.', {
          account: order.account,
          key: order.key,
        });
        break;
      }
      await this.o.clock.sleep(settleRetryMs);
    }
    this.recordSettled();
  }
}

type ClaimResult =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'known'; readonly outcome: OrderOutcome }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** The claim may still be committed. Nothing was sent under it, and nothing will be. */
  | { readonly kind: 'doubtful'; readonly refusal: Refusal };

interface PlaceResult {
  readonly outcome: OrderOutcome;
  readonly answer: Result<ServiceResponse, Refusal>;
}

function claimResultOf(outcome: Outcome): ClaimResult {
  if (outcome.kind === 'order-claimed') return { kind: 'claimed' };
  if (outcome.kind === 'order-conflict') {
    return {
      kind: 'refused',
      refusal: notRun('key-conflict', 'the key was used for another order'),
    };
  }
  if (outcome.kind === 'order-known' && outcome.outcome) {
    return { kind: 'known', outcome: outcome.outcome };
  }
  return {
    kind: 'refused',
    refusal: maybeRun('order-in-progress', 'an order with this key has no known outcome yet'),
  };
}

function placeResultOf(outcome: OrderOutcome): PlaceResult {
  return { outcome, answer: answerOf(outcome) };
}

/** The outcome that is recorded for an answer. Large answers are recorded by their digest. */
function outcomeOf(answer: ServiceResponse): OrderOutcome {
  const { status, body } = answer;
  if (body.length <= maxRecordedBodyChars) return { kind: 'answered', ...answer };
  return { kind: 'answered-large', status, digest: digestOf(body), length: body.length };
}

function digestOfOrder(order: Order): Digest {
  return digestOf(
    `${order.service} ${order.method} ${order.path}\n${order.body.toString('base64')}`,
  );
}

/** The response to the caller for an outcome. */
function answerOf(outcome: OrderOutcome): Result<ServiceResponse, Refusal> {
  switch (outcome.kind) {
    case 'answered':
      return ok({ status: outcome.status, contentType: outcome.contentType, body: outcome.body });
    case 'answered-large': {
      const { status, digest, length } = outcome;
      const body = JSON.stringify({ recorded: { status, digest, length } });
      return ok({ status, contentType: 'application/json', body });
    }
    case 'not-run':
      return err(notRun('upstream-failed', 'no upstream received the order', 1000));
    case 'unknown':
      return err(
        maybeRun('order-unknown', 'the answer to the order was lost; it may have been placed'),
      );
    default:
      return unreachable(outcome);
  }
}

/** Refusal of an order that was not sent now, while an earlier copy of it may have been. */
function claimFailed(): Refusal {
  const message = 'the order could not be claimed; an earlier copy of it may have been placed';
  return { ...maybeRun('shared-state-unavailable', message), retryAfterMs: 1000 };
}

function noUpstream(): Refusal {
  return notRun('no-replica', 'no upstream of this service could be reached', 1000);
}

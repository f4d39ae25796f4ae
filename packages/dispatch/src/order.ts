/** Calls to plain services: repeatable ones are retried, the others are placed at most once. */

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
import type { SendError, ServiceAnswer, ServiceRequest, Services } from '@tanagercart/upstream';
import { RetryBudgets } from './budget.js';
import type { Refusal } from './refusal.js';
import { maybeRun, notRun } from './refusal.js';

/** How long recording a claim or an outcome may take, in milliseconds. */
const claimTimeoutMs: Millis = 3000;

/** How long a call to a service may take, in milliseconds. */
const callTimeoutMs: Millis = 30_000;

/** Pause before an outcome that was not recorded is proposed again, in milliseconds. */
const settlePauseMs: Millis = 500;

/** Pause before a claim of unknown fate is proposed again, in milliseconds. */
const claimAgainMs: Millis = 50;

/** Attempts of a call at most. */
const attemptLimit = 3;

/** Share of an account's repeatable calls that may be retried. */
const retryShare = 0.1;

/** Form of an idempotency key: printable ASCII, no longer than this. */
const keyForm = /^[\x21-\x7e]{1,200}$/;

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

/** What order dispatch needs. */
export interface OrdersOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly proposals: CommandProposer;
  readonly services: Services;
  /** Upstreams that stand for a service, best first. */
  readonly upstreams: (service: string) => readonly Upstream[];
}

/** Sends calls to services. */
export class Orders {
  private readonly budgets = RetryBudgets.create();
  private open = 0;
  private readonly settled = Bell.create();

  private constructor(private readonly o: OrdersOptions) {}

  static create(options: OrdersOptions): Orders {
    return new Orders(options);
  }

  /** Orders that were claimed here and whose outcome is not recorded yet. */
  get unsettled(): number {
    return this.open;
  }

  /** Resolves once every outcome is recorded, or given up. */
  async untilSettled(): Promise<void> {
    while (this.open > 0) await this.settled.wait();
  }

  private close(): void {
    this.open -= 1;
    this.settled.ring();
  }

  /** Sends an idempotent call; tries other upstreams when one fails, within the retry budgets. */
  async repeatable(order: Order, signal?: AbortSignal): Promise<Result<ServiceAnswer, Refusal>> {
    this.budgets.request(order.account, retryShare);
    const upstreams = this.o.upstreams(order.service).slice(0, attemptLimit);
    let mayHaveRun = false;
    for (const [attempt, upstream] of upstreams.entries()) {
      if (attempt > 0 && !this.budgets.take(order.account, retryShare)) break;
      const answer = await this.send(order, upstream, false, signal);
      if (answer.isOk()) return ok(answer.value);
      if (signal?.aborted) break;
      mayHaveRun ||= answer.error.kind === 'lost';
      this.o.metrics.count('retry', { reason: answer.error.kind });
    }
    if (mayHaveRun) return err(maybeRun('upstream-failed', 'every attempt failed'));
    return err(noUpstream());
  }

  /** Places an order at most once under its idempotency key. */
  async once(order: Order, key: string): Promise<Result<ServiceAnswer, Refusal>> {
    if (!keyForm.test(key)) {
      return err(notRun('malformed', 'an Idempotency-Key has 1 to 200 printable characters'));
    }
    const name: OrderKey = { account: order.account, key };
    const claimant = `${this.o.self}/${order.request}`;
    const startedAt = this.o.clock.now();
    this.open += 1;
    const claimed = await this.claim(name, digestOfOrder(order), claimant);
    if (claimed.kind !== 'claimed') {
      if (claimed.kind === 'doubtful') void this.settle(name, claimant, { kind: 'not-run' });
      else this.close();
      return claimed.kind === 'known' ? answerOf(claimed.outcome) : err(claimed.refusal);
    }
    // A process that was frozen meanwhile may find its claim lapsed: the order is not sent then.
    if (this.o.clock.now() - startedAt >= claimExpiryMs) {
      void this.settle(name, claimant, { kind: 'not-run' });
      return err(unclaimed());
    }
    const placed = await this.place(order);
    const settled = this.settle(name, claimant, placed.outcome);
    // A caller that is told not-run may send again at once, so the claim is freed first.
    if (placed.outcome.kind === 'not-run') await Promise.race([settled, this.patience()]);
    return placed.answer;
  }

  private patience(): Promise<void> {
    return this.o.clock.sleep(claimTimeoutMs);
  }

  /** Claims the order, or learns what became of it. */
  private async claim(order: OrderKey, digest: Digest, claimant: string): Promise<Claimed> {
    const at = this.o.clock.wall();
    const deadline = this.o.clock.now() + claimTimeoutMs;
    const command = { kind: 'claim-order', order, digest, claimant, at } as const;
    let doubtful = false;
    for (;;) {
      const left = deadline - this.o.clock.now();
      const claimed = left > 0 ? await this.o.proposals.propose(command, left) : undefined;
      if (claimed?.isOk()) return claimedOf(claimed.value.outcome);
      const unknown = claimed?.isErr() && claimed.error.kind === 'unknown';
      doubtful ||= unknown === true;
      // The same claimant may propose its claim again: the state knows it by name.
      if (unknown) {
        await this.o.clock.sleep(claimAgainMs);
        continue;
      }
      return { kind: doubtful ? 'doubtful' : 'refused', refusal: unclaimed() };
    }
  }

  /** Sends the order once; another upstream is tried only where none received it. */
  private async place(order: Order): Promise<Placed> {
    for (const upstream of this.o.upstreams(order.service).slice(0, attemptLimit)) {
      const answer = await this.send(order, upstream, true);
      if (answer.isOk()) return { outcome: recordOf(answer.value), answer: ok(answer.value) };
      this.o.metrics.count('retry', { reason: answer.error.kind });
      if (answer.error.kind === 'lost') return placedAs({ kind: 'unknown' });
    }
    return placedAs({ kind: 'not-run' });
  }

  private async send(
    order: Order,
    upstream: Upstream,
    once: boolean,
    hangUp?: AbortSignal,
  ): Promise<Result<ServiceAnswer, SendError>> {
    const { method, headers, body, path } = order;
    const request = { url: upstream.url + path, method, headers, body, once };
    const late = new AbortController();
    const done = new AbortController();
    void this.o.clock.sleep(callTimeoutMs, done.signal).then(() => late.abort());
    const answer = await this.o.services.send(
      request,
      hangUp ? AbortSignal.any([hangUp, late.signal]) : late.signal,
    );
    done.abort();
    return answer;
  }

  /** Records an outcome, again and again until it is recorded or the claim has lapsed. */
  private async settle(order: OrderKey, claimant: string, outcome: OrderOutcome): Promise<void> {
    const command = { kind: 'settle-order', order, claimant, outcome } as const;
    const until = this.o.clock.now() + claimExpiryMs;
    for (;;) {
      const settled = await this.o.proposals.propose(command, claimTimeoutMs);
      if (settled.isOk()) break;
      this.o.metrics.count('order.settle-again');
      if (this.o.clock.now() >= until) {
        this.o.logger.warn('Outcome of an order was not recorded.', {
          account: order.account,
          key: order.key,
        });
        break;
      }
      await this.o.clock.sleep(settlePauseMs);
    }
    this.close();
  }
}

type Claimed =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'known'; readonly outcome: OrderOutcome }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** The claim may be committed yet; nothing was sent, and nothing will be. */
  | { readonly kind: 'doubtful'; readonly refusal: Refusal };

interface Placed {
  readonly outcome: OrderOutcome;
  readonly answer: Result<ServiceAnswer, Refusal>;
}

function claimedOf(outcome: Outcome): Claimed {
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

function placedAs(outcome: OrderOutcome): Placed {
  return { outcome, answer: answerOf(outcome) };
}

/** An answer as it is recorded. */
function recordOf(answer: ServiceAnswer): OrderOutcome {
  const { status, body } = answer;
  if (body.length <= maxRecordedBodyChars) return { kind: 'answered', ...answer };
  return { kind: 'answered-large', status, digest: digestOf(body), length: body.length };
}

function digestOfOrder(order: Order): Digest {
  return digestOf(
    `${order.service} ${order.method} ${order.path}\n${order.body.toString('base64')}`,
  );
}

/** What a caller is told of an outcome. */
function answerOf(outcome: OrderOutcome): Result<ServiceAnswer, Refusal> {
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

/** Nothing was sent now, but whether an earlier copy of the order was cannot be learned. */
function unclaimed(): Refusal {
  const message = 'the order could not be claimed; an earlier copy of it may have been placed';
  return { ...maybeRun('shared-state-unavailable', message), retryAfterMs: 1000 };
}

function noUpstream(): Refusal {
  return notRun('no-replica', 'no upstream of this service could be reached', 1000);
}

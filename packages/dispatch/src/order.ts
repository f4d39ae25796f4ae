/** Calls to plain services: repeatable ones are retried, the others are placed at most once. */

import { digestOf, unreachable } from '@tanagercart/base';
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
import type { OrderKey, OrderOutcome, Proposer, Upstream } from '@tanagercart/state';
import type { ServiceAnswer, ServiceRequest, Services } from '@tanagercart/upstream';
import type { Refusal } from './refusal.js';
import { maybeRun, notRun } from './refusal.js';

/** How long recording a claim or an outcome may take, in milliseconds. */
const claimTimeoutMs: Millis = 3000;

/** Attempts of a repeatable call at most. */
const attemptLimit = 3;

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
  readonly proposer: Proposer;
  readonly services: Services;
  /** Upstreams that stand for a service, best first. */
  readonly upstreams: (service: string) => readonly Upstream[];
}

/** Sends calls to services. */
export class Orders {
  private constructor(private readonly o: OrdersOptions) {}

  static create(options: OrdersOptions): Orders {
    return new Orders(options);
  }

  /** Sends an idempotent call; tries other upstreams when one fails. */
  async repeatable(order: Order, signal?: AbortSignal): Promise<Result<ServiceAnswer, Refusal>> {
    const upstreams = this.o.upstreams(order.service).slice(0, attemptLimit);
    if (upstreams.length === 0) return err(noUpstream());
    for (const upstream of upstreams) {
      const answer = await this.o.services.send(requestOf(order, upstream), signal);
      if (answer.isOk()) return ok(answer.value);
      if (signal?.aborted) break;
      this.o.metrics.count('retry', { reason: answer.error.kind });
    }
    return err(maybeRun('upstream-failed', 'every attempt failed'));
  }

  /** Places an order at most once under its idempotency key. */
  async once(order: Order, key: string): Promise<Result<ServiceAnswer, Refusal>> {
    const upstreams = this.o.upstreams(order.service);
    if (upstreams.length === 0) return err(noUpstream());
    const name: OrderKey = { account: order.account, key };
    const claimant = `${this.o.self}/${order.request}`;
    const claimed = await this.claim(name, digestOfOrder(order), claimant);
    if (claimed.isErr()) return err(claimed.error);
    if (claimed.value) return answerOf(claimed.value);
    const outcome = await this.place(order, upstreams);
    await this.settle(name, claimant, outcome);
    return answerOf(outcome);
  }

  /** Claims the order; yields the recorded outcome where it was claimed before. */
  private async claim(
    order: OrderKey,
    digest: Digest,
    claimant: string,
  ): Promise<Result<OrderOutcome | undefined, Refusal>> {
    const at = this.o.clock.wall();
    const command = { kind: 'claim-order', order, digest, claimant, at } as const;
    const claimed = await this.o.proposer.propose(command, claimTimeoutMs);
    // A claim that may have been committed is no permission to send: nothing was run here.
    if (claimed.isErr()) return err(notRun('shared-state-unavailable', claimed.error.detail, 1000));
    const { outcome } = claimed.value;
    if (outcome.kind === 'order-claimed') return ok(undefined);
    if (outcome.kind === 'order-conflict') {
      return err(notRun('key-conflict', 'the key was used for another order'));
    }
    if (outcome.kind === 'order-known' && outcome.outcome) return ok(outcome.outcome);
    return err(maybeRun('order-in-progress', 'an order with this key has no known outcome yet'));
  }

  /** Sends the order once; another upstream is tried only where none received it. */
  private async place(order: Order, upstreams: readonly Upstream[]): Promise<OrderOutcome> {
    for (const upstream of upstreams) {
      const answer = await this.o.services.send(requestOf(order, upstream));
      if (answer.isOk()) return { kind: 'answered', ...answer.value };
      this.o.metrics.count('retry', { reason: answer.error.kind });
      if (answer.error.kind === 'lost') return { kind: 'unknown' };
    }
    return { kind: 'not-run' };
  }

  private async settle(order: OrderKey, claimant: string, outcome: OrderOutcome): Promise<void> {
    const command = { kind: 'settle-order', order, claimant, outcome } as const;
    const settled = await this.o.proposer.propose(command, claimTimeoutMs);
    if (settled.isErr()) {
      this.o.logger.warn('Outcome of an order was not recorded.', { account: order.account });
    }
  }
}

function requestOf(order: Order, upstream: Upstream): ServiceRequest {
  const { method, headers, body, path } = order;
  return { url: upstream.url + path, method, headers, body };
}

function digestOfOrder(order: Order): Digest {
  return digestOf(
    `${order.service} ${order.method} ${order.path}\n${order.body.toString('base64')}`,
  );
}

function answerOf(outcome: OrderOutcome): Result<ServiceAnswer, Refusal> {
  switch (outcome.kind) {
    case 'answered':
      return ok({ status: outcome.status, contentType: outcome.contentType, body: outcome.body });
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

function noUpstream(): Refusal {
  return notRun('no-replica', 'no upstream stands for this service', 1000);
}

/** Runs one request as a series of attempts, and yields its answer as one stream. */

import type { Clock, Logger, Metrics, Millis, NodeId, RequestId } from '@tanagercart/base';
import { digestOf } from '@tanagercart/base';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type {
  AcquireCall,
  AcquireReply,
  AttemptEnd,
  CallError,
  Grant,
  RefusalReason,
  Transport,
} from '@tanagercart/protocol';
import type { ClientAccount, Model, Tier } from '@tanagercart/release';
import type { Proposer } from '@tanagercart/state';
import type { Engines, FinishReason, RunEvent, RunFailure, RunOrder } from '@tanagercart/upstream';
import { Assembly } from './assembly.js';
import type { Refusal } from './refusal.js';
import { maybeRun, notRun } from './refusal.js';

/** Attempts for one request at most. */
const attemptLimit = 4;

/** How long an owner may take to answer, in milliseconds. */
const acquireTimeoutMs: Millis = 1000;

/** How long recording a strike may take, in milliseconds. */
const strikeTimeoutMs: Millis = 1000;

/** A request for an answer, checked and judged under one release. */
export interface Generation {
  readonly id: RequestId;
  readonly account: ClientAccount;
  readonly tier: Tier;
  readonly model: Model;
  readonly version: string;
  readonly adapter: string | undefined;
  readonly release: number;
  readonly prompt: string;
  readonly seed: number;
  readonly maxTokens: number;
}

/** What the caller is sent; `end` or `refused` comes last, and once. */
export type Piece =
  | { readonly kind: 'token'; readonly token: string; readonly index: number }
  | { readonly kind: 'end'; readonly reason: FinishReason; readonly tokens: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** What dispatch needs. */
export interface DispatchOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly engines: Engines;
  readonly proposer: Proposer;
  /** Nodes that own replicas of a model, best first for work of a tier. */
  readonly owners: (model: Model, tier: Tier) => readonly NodeId[];
  /** Learns from an owner's answer. */
  readonly heard: (owner: NodeId, tier: Tier, reply: AcquireReply) => void;
}

interface Attempt {
  readonly order: RunOrder;
  readonly grant: Grant;
  readonly startedAt: Millis;
}

type AcquireOutcome =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

type Answer = Exclude<AcquireReply, { readonly kind: 'queued' }>;

/** Runs requests on behalf of callers. */
export class Dispatch {
  private constructor(private readonly o: DispatchOptions) {}

  static create(options: DispatchOptions): Dispatch {
    return new Dispatch(options);
  }

  /** Yields the answer to one request; aborting `signal` cancels it at the engines. */
  async *generate(g: Generation, signal: AbortSignal): AsyncGenerator<Piece> {
    const assembly = Assembly.create(g.id);
    const avoid: Grant[] = [];
    let sent = false;
    for (let n = 0; n < attemptLimit && !signal.aborted; n += 1) {
      const acquired = await this.acquire(g, n, avoid);
      if (acquired.kind === 'refused') {
        yield {
          kind: 'refused',
          refusal: sent ? { ...acquired.refusal, run: 'unknown' } : acquired.refusal,
        };
        return;
      }
      const attempt = this.begin(g, assembly, acquired.grant);
      const failure = yield* this.runAttempt(attempt, assembly, signal);
      if (!failure) return;
      sent ||= failure.kind !== 'unreachable' && failure.kind !== 'refused';
      avoid.push(acquired.grant);
      this.o.metrics.count('retry', { reason: failure.kind });
      this.o.logger.info('Attempt failed.', {
        request: g.id,
        reason: failure.kind,
        detail: failure.detail,
      });
      if (failure.kind === 'broken') await this.strike(g, attempt, failure);
    }
    if (signal.aborted) return;
    const message = 'every attempt failed';
    yield {
      kind: 'refused',
      refusal: sent ? maybeRun('upstream-failed', message) : notRun('upstream-failed', message),
    };
  }

  private begin(g: Generation, assembly: Assembly, grant: Grant): Attempt {
    const attempt = assembly.begin(grant);
    const order: RunOrder = {
      request: g.id,
      attempt,
      grant: grant.id,
      fence: grant.epoch,
      priority: grant.priority,
      model: g.model.id,
      version: g.version,
      adapter: g.adapter,
      prompt: g.prompt,
      passed: [...assembly.passed],
      seed: g.seed,
      maxTokens: g.maxTokens,
      chain: grant.stages,
    };
    return { order, grant, startedAt: this.o.clock.now() };
  }

  /** Runs one attempt; returns its failure, or nothing when the caller has been answered. */
  private async *runAttempt(
    attempt: Attempt,
    assembly: Assembly,
    signal: AbortSignal,
  ): AsyncGenerator<Piece, RunFailure | undefined> {
    let end: AttemptEnd = 'cancelled';
    const before = assembly.passed.length;
    try {
      for await (const event of this.o.engines.run(attempt.order, signal)) {
        const step = this.judge(event, assembly);
        if (step.kind === 'failed') {
          if (signal.aborted) return undefined;
          end = 'failed';
          return step.failure;
        }
        if (step.kind === 'end') end = 'complete';
        if (step.kind !== 'skip') yield step;
        if (step.kind === 'end') return undefined;
      }
      return undefined;
    } finally {
      this.finish(attempt, end, assembly.passed.length - before);
    }
  }

  private judge(
    event: RunEvent,
    assembly: Assembly,
  ): Piece | { readonly kind: 'failed'; readonly failure: RunFailure } | { readonly kind: 'skip' } {
    if (event.kind === 'failed') return event;
    if (event.kind === 'end') {
      return { kind: 'end', reason: event.reason, tokens: assembly.passed.length };
    }
    const verdict = assembly.take(event.frame);
    if (verdict.kind === 'next') {
      return { kind: 'token', token: verdict.token, index: event.frame.index };
    }
    if (verdict.kind === 'drop') {
      this.o.metrics.count('frame.dropped', { reason: verdict.why });
      return { kind: 'skip' };
    }
    return {
      kind: 'failed',
      failure: { kind: 'broken', detail: verdict.detail, suspect: undefined },
    };
  }

  private finish(attempt: Attempt, end: AttemptEnd, tokens: number): void {
    if (end !== 'complete') void this.o.engines.cancel(attempt.order);
    const call = { grant: attempt.grant.id, end, tokens, firstTokenMs: undefined };
    const options = { timeoutMs: acquireTimeoutMs };
    void this.o.transport.call(attempt.grant.owner, 'release', call, options);
  }

  private async acquire(
    g: Generation,
    attempt: number,
    avoid: readonly Grant[],
  ): Promise<AcquireOutcome> {
    let reason: RefusalReason = 'no-replica';
    let retryAfterMs: Millis | undefined;
    for (const owner of this.o.owners(g.model, g.tier)) {
      const call = {
        request: g.id,
        attempt,
        account: g.account.id,
        tier: g.tier.id,
        model: g.model.id,
        version: g.version,
        adapter: g.adapter,
        release: g.release,
        prefix: [],
        promptTokens: g.prompt.length,
        maxTokens: g.maxTokens,
        budgetMs: g.tier.firstTokenMs,
        avoid: avoid.map((a) => a.replica),
      };
      const reply = await this.ask(owner, call);
      if (reply.isErr()) {
        reason = 'owner-unreachable';
        continue;
      }
      this.o.heard(owner, g.tier, reply.value);
      if (reply.value.kind === 'granted') return { kind: 'granted', grant: reply.value.grant };
      reason = reply.value.reason;
      retryAfterMs = reply.value.retryAfterMs;
    }
    return {
      kind: 'refused',
      refusal: notRun(reason, 'no replica can take the request now', retryAfterMs),
    };
  }

  /** Asks one owner until it grants or refuses. */
  private async ask(owner: NodeId, call: AcquireCall): Promise<Result<Answer, CallError>> {
    for (;;) {
      const options = { timeoutMs: acquireTimeoutMs };
      const reply = await this.o.transport.call(owner, 'acquire', call, options);
      if (reply.isErr()) {
        return err(reply.error);
      }
      if (reply.value.kind !== 'queued') {
        return ok(reply.value);
      }
      await this.o.clock.sleep(reply.value.againMs);
    }
  }

  private async strike(g: Generation, attempt: Attempt, failure: RunFailure): Promise<void> {
    const suspect = failure.kind === 'broken' ? failure.suspect : undefined;
    const upstream = suspect ?? attempt.grant.stages[0]!.upstream;
    const fingerprint = fingerprintOf(g);
    const at = this.o.clock.wall();
    await this.o.proposer.propose({ kind: 'strike', fingerprint, upstream, at }, strikeTimeoutMs);
  }
}

/** What makes two requests the same for quarantine: all that an engine sees of them. */
export function fingerprintOf(g: Generation): ReturnType<typeof digestOf> {
  return digestOf(JSON.stringify([g.model.id, g.version, g.adapter ?? null, g.prompt]));
}

/** Runs one request as a series of attempts, and yields its answer as one stream. */

import type {
  Clock,
  Digest,
  GrantId,
  Logger,
  Metrics,
  Millis,
  NodeId,
  Random,
  UpstreamId,
} from '@tanagercart/base';
import { Bell, unreachable } from '@tanagercart/base';
import type { AttemptEnd, ClearedEnd, Grant, Transport } from '@tanagercart/protocol';
import type { Model } from '@tanagercart/release';
import type { Proposals, SharedState } from '@tanagercart/state';
import type { Engines, FinishReason, RunOrder } from '@tanagercart/upstream';
import { acquire } from './acquire.js';
import type { Acquired } from './acquire.js';
import { Assembly } from './assembly.js';
import { Avoidance } from './avoidance.js';
import { RetryBudgets } from './budget.js';
import { causeOf, ruleOf } from './cause.js';
import type { RetryCause } from './cause.js';
import { Clearance } from './clearance.js';
import { fingerprintOf } from './generation.js';
import type { Generation, Piece } from './generation.js';
import { Pace } from './pace.js';
import { PromiseClock } from './promise.js';
import type { Refusal } from './refusal.js';
import { notRun } from './refusal.js';
import { WatchedRun } from './watch.js';
import type { WatchedEvent } from './watch.js';

/** Charged attempts for one request at most. */
const attemptLimit = 4;

/** How long giving a grant back may take, in milliseconds. */
const releaseTimeoutMs: Millis = 1000;

/** Pause before the second attempt, in milliseconds; doubles with each and is spread by jitter. */
const backoffMs: Millis = 20;

/** What dispatch needs. */
export interface DispatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly transport: Transport;
  readonly engines: Engines;
  readonly proposals: Proposals;
  readonly state: SharedState;
  /** Nodes that own replicas of a model, best first. */
  readonly owners: (model: Model) => readonly NodeId[];
  /** Nodes that may be the gate of a fingerprint, first the one that is. */
  readonly gates: (fingerprint: Digest) => readonly NodeId[];
}

/** One request while it is dispatched. */
interface Dispatching {
  readonly g: Generation;
  readonly fingerprint: Digest;
  readonly assembly: Assembly;
  readonly promise: PromiseClock;
  readonly signal: AbortSignal;
  readonly failed: Grant[];
  attempts: number;
  charged: number;
  mayHaveRun: boolean;
}

interface Attempt {
  readonly run: WatchedRun;
  readonly grant: Grant;
  readonly gate: NodeId;
  readonly startedAt: Millis;
  readonly tokensBefore: number;
}

type Permitted =
  | { readonly kind: 'permitted'; readonly grant: Grant; readonly gate: NodeId }
  | Exclude<Acquired, { readonly kind: 'granted' }>;

type AttemptOutcome =
  | { readonly kind: 'answered'; readonly reason: FinishReason }
  | { readonly kind: 'aborted' }
  | { readonly kind: 'failed'; readonly cause: RetryCause };

/** Runs requests on behalf of callers. */
export class Dispatch {
  private readonly avoidance: Avoidance;
  private readonly budgets = RetryBudgets.create();
  private readonly pace = Pace.create();
  private readonly clearance: Clearance;
  private readonly running = new Map<GrantId, WatchedRun>();
  /** Rings at each end of an attempt. */
  readonly ended = Bell.create();

  private constructor(private readonly o: DispatchOptions) {
    this.avoidance = Avoidance.create(o.clock, o.random);
    this.clearance = Clearance.create(o);
  }

  static create(options: DispatchOptions): Dispatch {
    const dispatch = new Dispatch(options);
    options.transport.serve('preempt', async (_, call) => {
      const run = dispatch.running.get(call.grant);
      run?.preempt();
      return { known: run !== undefined };
    });
    return dispatch;
  }

  /** Attempts in progress. */
  get inProgress(): number {
    return this.running.size;
  }

  /** Yields the answer to one request; aborting `signal` cancels it at the engines. */
  async *generate(g: Generation, signal: AbortSignal): AsyncGenerator<Piece> {
    this.budgets.request(g.account.id, g.tier.retryBudget);
    const d: Dispatching = {
      g,
      fingerprint: fingerprintOf(g),
      assembly: Assembly.create(g.id, g.passed),
      promise: PromiseClock.create(this.o.clock, g.tier),
      signal,
      failed: [],
      attempts: 0,
      charged: 0,
      mayHaveRun: false,
    };
    while (!signal.aborted) {
      const permitted = await this.permit(d);
      if (permitted.kind === 'aborted') return;
      if (permitted.kind === 'refused') {
        yield refused(d, permitted.refusal);
        return;
      }
      const outcome = yield* this.attempt(d, permitted.grant, permitted.gate);
      if (outcome.kind === 'aborted') return;
      if (outcome.kind === 'answered') {
        yield { kind: 'end', reason: outcome.reason, tokens: d.assembly.passed.length };
        return;
      }
      const refusal = await this.afterFailure(d, permitted.grant, outcome.cause);
      if (refusal) {
        yield refused(d, refusal);
        return;
      }
    }
  }

  /** Acquires a grant and the gate's clearance for it. */
  private async permit(d: Dispatching): Promise<Permitted> {
    for (;;) {
      const acquired = await this.acquire(d);
      if (acquired.kind !== 'granted') return acquired;
      const { grant } = acquired;
      const cleared = await this.clearance.ask(d.fingerprint, d.g.id, grant);
      if (cleared.kind === 'cleared') return { kind: 'permitted', grant, gate: cleared.gate };
      this.giveBack(grant, 'cancelled', 0, undefined);
      switch (cleared.kind) {
        case 'quarantined':
          return { kind: 'refused', refusal: quarantined() };
        case 'unreachable':
          return {
            kind: 'refused',
            refusal: notRun('owner-unreachable', 'no gate answered for the request', backoffMs),
          };
        case 'wait':
          this.o.metrics.count('gate.wait');
          await this.o.clock.sleep(cleared.againMs, d.signal);
          break;
        default:
          unreachable(cleared);
      }
    }
  }

  private acquire(d: Dispatching): Promise<Acquired> {
    const { g, promise, signal, assembly } = d;
    const options = { ...this.o, owners: () => this.o.owners(g.model) };
    d.attempts += 1;
    return acquire(options, {
      g,
      attempt: d.attempts,
      avoid: d.failed.map((grant) => grant.replica),
      shun: this.avoidance.list(),
      leftMs: () => promise.leftMs(assembly.passed.length),
      signal,
      patient: d.failed.length > 0 || assembly.passed.length > 0,
    });
  }

  /** Runs one attempt, passes its tokens on, and gives its grant back. */
  private async *attempt(
    d: Dispatching,
    grant: Grant,
    gate: NodeId,
  ): AsyncGenerator<Piece, AttemptOutcome> {
    const attempt = this.begin(d, grant, gate);
    this.running.set(grant.id, attempt.run);
    let outcome: AttemptOutcome = { kind: 'aborted' };
    let firstTokenMs: Millis | undefined;
    try {
      let last = attempt.startedAt;
      const bound = () =>
        firstTokenMs === undefined
          ? this.pace.firstBoundMs(d.g.model.id, d.g.tier)
          : this.pace.gapBoundMs(d.g.model.id, d.g.tier);
      for await (const event of attempt.run.events(bound, d.signal)) {
        const now = this.o.clock.now();
        if (event.kind === 'token') {
          const verdict = d.assembly.take(event.frame);
          if (verdict.kind === 'drop') {
            this.o.metrics.count('frame.dropped', { reason: verdict.why });
            continue;
          }
          if (verdict.kind === 'fault') {
            outcome = { kind: 'failed', cause: { kind: 'corrupt', detail: verdict.detail } };
            break;
          }
          if (firstTokenMs === undefined) {
            firstTokenMs = now - attempt.startedAt;
            this.pace.observeFirst(d.g.model.id, d.g.tier, firstTokenMs);
            this.avoidance.worked(grant.replica);
          } else {
            this.pace.observeGap(d.g.model.id, d.g.tier, now - last);
          }
          d.promise.resumed();
          yield { kind: 'token', token: verdict.token, index: event.frame.index };
          // A slow caller's time is not the engine's.
          last = this.o.clock.now();
          continue;
        }
        outcome = outcomeOf(event, d.assembly.passed.length - attempt.tokensBefore);
        break;
      }
      return outcome;
    } finally {
      this.running.delete(grant.id);
      await this.finish(d, attempt, outcome, firstTokenMs);
    }
  }

  private begin(d: Dispatching, grant: Grant, gate: NodeId): Attempt {
    const { g, assembly } = d;
    const order: RunOrder = {
      request: g.id,
      attempt: assembly.begin(grant),
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
    const { engines, clock, metrics } = this.o;
    return {
      run: WatchedRun.create(engines, clock, metrics, order),
      grant,
      gate,
      startedAt: clock.now(),
      tokensBefore: assembly.passed.length,
    };
  }

  /** Gives the grant back, and records a crash before anything is retried. */
  private async finish(
    d: Dispatching,
    attempt: Attempt,
    outcome: AttemptOutcome,
    firstTokenMs: Millis | undefined,
  ): Promise<void> {
    const { grant } = attempt;
    const tokens = d.assembly.passed.length - attempt.tokensBefore;
    this.giveBack(grant, endOf(outcome), tokens, firstTokenMs);
    if (outcome.kind === 'answered') {
      void this.clearance.absolve(d.fingerprint);
      void this.settle(d, attempt, { kind: 'complete' });
    } else if (outcome.kind === 'failed' && ruleOf(outcome.cause).strikes) {
      const suspect = 'suspect' in outcome.cause ? outcome.cause.suspect : undefined;
      await this.settleCrash(d, attempt, suspect);
    } else {
      void this.windUp(d, attempt);
    }
    this.ended.ring();
  }

  /** Settles a cancelled attempt once its engines have dropped it, or crashed all the same. */
  private async windUp(d: Dispatching, attempt: Attempt): Promise<void> {
    const broken = await attempt.run.aftermath;
    if (broken) await this.settleCrash(d, attempt, broken.suspect);
    else await this.settle(d, attempt, { kind: 'ended' });
  }

  private async settleCrash(
    d: Dispatching,
    attempt: Attempt,
    suspect: UpstreamId | undefined,
  ): Promise<void> {
    const upstream = suspect ?? attempt.grant.stages[0]!.upstream;
    const index = await this.clearance.strike(d.fingerprint, upstream);
    await this.settle(d, attempt, { kind: 'crashed', index });
  }

  private settle(d: Dispatching, attempt: Attempt, end: ClearedEnd): Promise<void> {
    return this.clearance.settle(d.fingerprint, attempt.gate, attempt.grant.id, end);
  }

  /** Decides on another attempt; yields the refusal where there is none. */
  private async afterFailure(
    d: Dispatching,
    grant: Grant,
    cause: RetryCause,
  ): Promise<Refusal | undefined> {
    const rule = ruleOf(cause);
    const { g, assembly } = d;
    d.promise.interrupted();
    d.mayHaveRun ||= rule.mayHaveRun;
    this.o.metrics.count('retry.cause', { reason: cause.kind });
    this.o.logger.info('Attempt failed.', { request: g.id, reason: cause.kind });
    if (rule.avoided) this.avoidance.failed(grant.replica);
    if (!rule.charged) return undefined;
    d.failed.push(grant);
    d.charged += 1;
    if (d.charged >= attemptLimit) return notRun('upstream-failed', 'every attempt failed');
    if (d.promise.leftMs(assembly.passed.length) <= 0) {
      return notRun('deadline', 'the promise ran out after a failed attempt');
    }
    const urgency = assembly.passed.length > 0 ? 'resume' : 'restart';
    if (!this.budgets.take(g.account.id, g.tier.retryBudget, urgency)) {
      return notRun('retry-budget', 'the retry budget is used up', 1000);
    }
    this.o.metrics.count('retry', { reason: cause.kind });
    // An interrupted stream goes on at once: another chain is asked, and its caller is waiting.
    if (urgency === 'restart') await this.backOff(d);
    return undefined;
  }

  private backOff(d: Dispatching): Promise<void> {
    const ms = backoffMs * 2 ** (d.charged - 1) * (0.5 + this.o.random.next());
    return this.o.clock.sleep(ms, d.signal);
  }

  private giveBack(
    grant: Grant,
    end: AttemptEnd,
    tokens: number,
    firstTokenMs: Millis | undefined,
  ): void {
    const call = { grant: grant.id, end, tokens, firstTokenMs };
    void this.o.transport.call(grant.owner, 'release', call, { timeoutMs: releaseTimeoutMs });
  }
}

function outcomeOf(
  event: Exclude<WatchedEvent, { readonly kind: 'token' }>,
  tokens: number,
): AttemptOutcome {
  switch (event.kind) {
    case 'end':
      return { kind: 'answered', reason: event.reason };
    case 'failed':
      return { kind: 'failed', cause: causeOf(event.failure, tokens) };
    case 'preempted':
      return { kind: 'failed', cause: event };
    case 'aborted':
      return event;
    default:
      return unreachable(event);
  }
}

function endOf(outcome: AttemptOutcome): AttemptEnd {
  if (outcome.kind === 'answered') return 'complete';
  if (outcome.kind === 'aborted') return 'cancelled';
  const { kind } = outcome.cause;
  if (kind === 'preempted') return 'preempted';
  return kind === 'refused' ? 'refused' : 'failed';
}

/** A refusal as the caller is told of it, given what was sent before. */
function refused(d: Dispatching, refusal: Refusal): Piece {
  return { kind: 'refused', refusal: d.mayHaveRun ? { ...refusal, run: 'unknown' } : refusal };
}

function quarantined(): Refusal {
  return notRun('quarantined', 'this request has crashed the upstreams that ran it');
}

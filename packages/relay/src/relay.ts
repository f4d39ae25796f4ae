/** Serves requests: chooses a target, sends, and tries again where that is allowed. */

import { gather, unreachable } from '@tanagercart/base';
import type { Clock, Logger, Metrics, Millis, Random, UpstreamId } from '@tanagercart/base';
import { formatRange } from '@tanagercart/layers';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { jitter } from './comeback.js';
import { deadlineOf, isRepeatable, isStream } from './call.js';
import type { Call, Caller, ResponseHead } from './call.js';
import type { RetryBudget } from './budget.js';
import type { Health } from './health.js';
import type { Loads } from './loads.js';
import { decideRetry } from './retry.js';
import type { Failure } from './retry.js';
import { StallDetector } from './silence.js';
import type { StallCause, StallTimeouts } from './silence.js';
import { fingerprintOf } from './quarantine.js';
import type { Quarantine } from './quarantine.js';
import { StreamDelivery } from './stream.js';
import type { Balancer, Target } from './target.js';
import { LogRateLimit, RequestLog } from './trail.js';
import type { SendError, UpstreamClient, UpstreamResponse } from './upstream.js';

/** Share of the remaining time after which a silent attempt is given up for another. */
const silentShare = 0.5;

/** A stream without its first event is tried elsewhere after this multiple of its objective. */
const firstEventFactor = 4;

/** A stream that pauses this long is tried elsewhere, before its caller leaves. */
const mostPauseMs: Millis = 1900;

/** A silent stream is looked into after this share of its objective. */
const lookShare = 0.6;

/** When a refused caller may come back, in the mean. */
const meanComebackMs: Millis = 400;

/** Broken attempts of one request after which each counts against it. */
const breaksToStrike = 2;

/** When a caller may come back with a request that crashes upstreams. */
const quarantineMs: Millis = 30_000;

export interface RelayOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly client: UpstreamClient;
  readonly balancer: Balancer;
  readonly health: Health;
  readonly loads: Loads;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  readonly quarantine: Quarantine;
}

/** What the attempts of one request have in common. */
interface Progress {
  readonly call: Call;
  readonly caller: Caller;
  readonly excluded: Set<UpstreamId>;
  readonly delivery: StreamDelivery | undefined;
  readonly log: RequestLog;
  sends: number;
  /** Upstreams that may have run the request. */
  readonly ran: Set<UpstreamId>;
  /** The last whole answer, which told a failure. */
  answer: WholeAnswer | undefined;
  /** Attempts at which the connection broke. */
  breaks: number;
}

/** How an attempt ended. */
type AttemptEnd =
  | { readonly kind: 'delivered' }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      readonly detail: string;
      /** Address of the upstream at fault, where it is another. */
      readonly culprit?: string;
      /** Whether the upstream at fault is not reached at all. */
      readonly lost?: boolean;
      /** What the upstream answered. */
      readonly answer?: WholeAnswer;
    };

interface WholeAnswer {
  readonly head: ResponseHead;
  readonly body: Uint8Array;
}

/** Serves requests of callers. */
export class Relay {
  private readonly rate: LogRateLimit;

  private constructor(private readonly o: RelayOptions) {
    this.rate = LogRateLimit.create(o.clock, o.logger);
  }

  static create(options: RelayOptions): Relay {
    return new Relay(options);
  }

  /** Serves one request to its end; never throws. */
  async serve(call: Call, caller: Caller): Promise<void> {
    const { clock, budget, logger, metrics } = this.o;
    budget.recordRequest(call.service.id);
    if (this.isQuarantined(call)) {
      caller.refuse({ kind: 'not-run', reason: 'quarantined', retryAfterMs: quarantineMs });
      return;
    }
    const deadline = deadlineOf(call);
    const stop = new AbortController();
    const abort = () => stop.abort();
    caller.disconnected.addEventListener('abort', abort, { once: true });
    if (caller.disconnected.aborted) stop.abort();
    const progress: Progress = {
      call,
      caller,
      excluded: new Set(),
      delivery: isStream(call) ? StreamDelivery.create(call, caller, clock) : undefined,
      log: RequestLog.create(logger, clock, this.rate, call),
      sends: 0,
      ran: new Set(),
      answer: undefined,
      breaks: 0,
    };
    const expired = clock.sleep(deadline - clock.now(), stop.signal).then(() => 'expired' as const);
    const served = this.attempts(progress, deadline, stop.signal);
    const first = await Promise.race([served, expired]);
    if (first === 'expired' && !stop.signal.aborted) this.expire(progress);
    if (caller.disconnected.aborted)
      progress.log.info('The caller left.', { sends: progress.sends });
    stop.abort();
    const delivered = await served;
    const tookMs = clock.now() - call.startedAt;
    metrics.observe('request.ms', tookMs, { kind: call.route.kind });
    progress.log.end(!delivered || progress.sends > 1);
    caller.disconnected.removeEventListener('abort', abort);
  }

  /** Whether equal requests crash upstreams. */
  private isQuarantined(call: Call): boolean {
    const { quarantine, logger } = this.o;
    if (quarantine.isEmpty()) return false;
    const fingerprint = fingerprintOf(call);
    if (!quarantine.has(fingerprint)) return false;
    logger.info('Refused, as it crashes upstreams.', { request: call.id, fingerprint });
    return true;
  }

  /** The deadline has come before the answer was whole. */
  private expire(progress: Progress): void {
    const { call, caller, delivery, ran, answer } = progress;
    const started = delivery?.started ?? false;
    progress.log.info('Deadline passed.', { runs: ran.size, started });
    this.o.metrics.count('request.expired', { kind: call.route.kind });
    if (started) caller.abort();
    else if (answer) pass(answer, caller);
    else caller.refuse({ kind: 'timeout', reason: 'no answer within the time of the request' });
  }

  /** Sends until the request has its answer; whether an upstream's answer was delivered whole. */
  private async attempts(
    progress: Progress,
    deadline: Millis,
    stop: AbortSignal,
  ): Promise<boolean> {
    const { call } = progress;
    for (;;) {
      // Beyond the attempts of the route only those may run the request that did so before.
      const isFull = progress.ran.size >= call.route.maxAttempts;
      const among = isFull ? progress.ran : undefined;
      const target = this.o.balancer.pick(call, progress.excluded, among);
      if (typeof target === 'string') {
        this.giveUp(progress, target, stop);
        return false;
      }
      const end = await this.attempt(progress, target, deadline, stop);
      if (end.kind === 'delivered') return true;
      if (stop.aborted) return false;
      if (!this.mayRetry(progress, end, deadline)) {
        this.giveUp(progress, end.failure, stop);
        return false;
      }
    }
  }

  private mayRetry(
    progress: Progress,
    end: Extract<AttemptEnd, { kind: 'failed' }>,
    deadline: Millis,
  ): boolean {
    const { call, ran, excluded, sends } = progress;
    const next = decideRetry({
      failure: end.failure,
      repeatable: isRepeatable(call),
      runs: ran.size,
      maxAttempts: call.route.maxAttempts,
      mayRunAgain: [...ran].some((id) => !excluded.has(id)),
      sends,
      remainingMs: deadline - this.o.clock.now(),
    });
    if (next === 'give-up') return false;
    if (end.failure === 'unreachable') return true;
    const granted = this.o.budget.tryAcquire(call.service.id);
    const reason = end.failure;
    if (granted) this.o.metrics.count('request.retried', { reason });
    else this.o.metrics.count('request.retry-refused', { reason });
    if (!granted) progress.log.info('No budget for another attempt.', { reason: end.failure });
    return granted;
  }

  /** Ends a request that goes nowhere any more with what is known of it. */
  private giveUp(progress: Progress, reason: string, stop: AbortSignal): void {
    const { caller, delivery, ran, answer } = progress;
    if (stop.aborted) return;
    progress.log.info('Gave up.', { reason, runs: ran.size, sends: progress.sends });
    this.o.metrics.count('request.given-up', { reason });
    if (delivery?.started) {
      caller.abort();
    } else if (answer) {
      pass(answer, caller);
    } else if (ran.size > 0) {
      caller.refuse({ kind: 'unknown', reason });
    } else {
      const retryAfterMs = jitter(this.o.random, meanComebackMs);
      caller.refuse({ kind: 'not-run', reason, retryAfterMs });
    }
  }

  private async attempt(
    progress: Progress,
    target: Target,
    deadline: Millis,
    stop: AbortSignal,
  ): Promise<AttemptEnd> {
    const { clock, client, loads } = this.o;
    const { call, delivery } = progress;
    const { upstream, path } = target;
    const startedAt = clock.now();
    const own = new AbortController();
    const abort = () => own.abort();
    stop.addEventListener('abort', abort, { once: true });
    const release = loads.add(target.requestLoads);
    progress.sends += 1;
    progress.log.info('Sending.', {
      attempt: progress.sends,
      upstream: upstream.id,
      path: path?.map((p) => `${p.stage.address}=${formatRange(p.layers)}`).join(' '),
      lastEvent: delivery?.lastEvent,
    });
    const remainingMs = deadline - startedAt;
    const watch = StallDetector.create({
      clock,
      timeouts: stallTimeoutsFor(call, remainingMs, isLast(progress, upstream.id)),
      probe: () => client.probe(call, upstream),
      stop: own,
    });
    const attempt = { upstream, path, remainingMs, lastEvent: delivery?.lastEvent };
    const sent = await client.send(call, attempt, own.signal);
    const answer = sent.isOk() ? sent.value : undefined;
    let end: AttemptEnd = answer
      ? await take(progress, target, answer, watch)
      : failedBy(sent._unsafeUnwrapErr());
    watch.end();
    own.abort();
    release();
    stop.removeEventListener('abort', abort);
    if (end.kind === 'failed' && watch.cause) end = silenced(watch.cause);
    if (stop.aborted && end.kind !== 'delivered') return end;
    this.learn(progress, upstream, end, clock.now() - startedAt, answer);
    return end;
  }

  /** A request at which connections break again and again may be what crashes its upstreams. */
  private strike(progress: Progress): void {
    const { call } = progress;
    progress.breaks += 1;
    if (progress.breaks < breaksToStrike) return;
    const fingerprint = fingerprintOf(call);
    progress.log.info('May crash upstreams.', { fingerprint, breaks: progress.breaks });
    this.o.quarantine.recordCrash(fingerprint);
  }

  /** Takes note of how an attempt ended. */
  private learn(
    progress: Progress,
    upstream: UpstreamRecord,
    end: AttemptEnd,
    tookMs: Millis,
    answer: UpstreamResponse | undefined,
  ): void {
    const { call, excluded } = progress;
    const took = Math.round(tookMs);
    if (end.kind === 'delivered') {
      const { firstEventAt: firstAt, longestGapMs: longestPauseMs } = progress.delivery ?? {};
      const firstMs = firstAt === undefined ? undefined : Math.round(firstAt - call.startedAt);
      const pauseMs = longestPauseMs === undefined ? undefined : Math.round(longestPauseMs);
      progress.log.info('Delivered.', { upstream: upstream.id, tookMs: took, firstMs, pauseMs });
      this.o.metrics.count('request.delivered', { kind: call.route.kind });
      this.o.health.recordSuccess(upstream, tookMs);
      return;
    }
    const { failure, detail } = end;
    const address = end.culprit ?? answer?.culprit;
    const fields = { upstream: upstream.id, failure, detail, culprit: address, tookMs: took };
    progress.log.info('Attempt failed.', fields);
    this.o.metrics.count('attempt.failed', { reason: failure });
    if (failure === 'broken' || failure === 'silent') progress.ran.add(upstream.id);
    progress.answer = end.answer ?? progress.answer;
    if (failure === 'broken' && !end.lost) this.strike(progress);
    const culprit = address === undefined ? undefined : this.o.balancer.upstreamAt(address);
    const blamed = culprit ?? upstream;
    excluded.add(blamed.id);
    this.o.health.recordFailure(blamed, end.lost ?? failure === 'unreachable');
  }
}

/** How long an attempt may stay silent before the request is tried elsewhere. */
export function stallTimeoutsFor(call: Call, remainingMs: Millis, last: boolean): StallTimeouts {
  if (!isRepeatable(call))
    return { firstEventMs: Infinity, gapMs: Infinity, probeAfterMs: undefined };
  const { objectiveMs, pauseMs } = call.route;
  const lookMs = Math.min(objectiveMs * lookShare, (pauseMs ?? Infinity) * 1.5);
  if (last) {
    return {
      firstEventMs: Infinity,
      gapMs: Infinity,
      probeAfterMs: isStream(call) ? lookMs : undefined,
    };
  }
  if (!isStream(call)) {
    const ms = remainingMs * silentShare;
    return { firstEventMs: ms, gapMs: ms, probeAfterMs: undefined };
  }
  const firstMs = Math.min(remainingMs, objectiveMs * firstEventFactor);
  return { firstEventMs: firstMs, gapMs: mostPauseMs, probeAfterMs: lookMs };
}

/** Whether no other upstream may run the request after this one. */
function isLast({ call, ran }: Progress, upstream: UpstreamId): boolean {
  return new Set([...ran, upstream]).size >= call.route.maxAttempts;
}

/** Passes a whole answer on. */
function pass(answer: WholeAnswer, caller: Caller): void {
  caller.start(answer.head);
  void caller.write(answer.body);
  caller.end();
}

function failedBy(error: SendError): AttemptEnd {
  const failure = error.kind === 'unreachable' ? 'unreachable' : 'broken';
  return { kind: 'failed', failure, detail: 'detail' in error ? error.detail : error.kind };
}

function silenced(verdict: StallCause): AttemptEnd {
  switch (verdict.kind) {
    case 'blocked':
      return {
        kind: 'failed',
        failure: 'broken',
        detail: 'a stage is not reached',
        culprit: verdict.address,
        lost: true,
      };
    case 'unreachable':
      return {
        kind: 'failed',
        failure: 'silent',
        detail: 'the upstream is not reached',
        lost: true,
      };
    case 'silent':
      return { kind: 'failed', failure: 'silent', detail: 'no answer' };
    default:
      return unreachable(verdict);
  }
}

/** Passes an answer on, or finds that it has to be had elsewhere. */
async function take(
  progress: Progress,
  target: Target,
  answer: UpstreamResponse,
  watch: StallDetector,
): Promise<AttemptEnd> {
  const { call, caller, delivery } = progress;
  const { status } = answer.head;
  if (answer.notRun) return { kind: 'failed', failure: 'not-run', detail: `status ${status}` };
  progress.ran.add(target.upstream.id);
  if (delivery && status === 200) {
    const end = await delivery.forward(answer, () => watch.recordActivity());
    if (end === 'complete') return { kind: 'delivered' };
    return { kind: 'failed', failure: 'broken', detail: 'the stream broke off' };
  }
  const whole = await wholeOf(answer);
  if (!whole) return { kind: 'failed', failure: 'broken', detail: 'the answer broke off' };
  if (status >= 500 && isRepeatable(call)) {
    return { kind: 'failed', failure: 'failed', detail: `status ${status}`, answer: whole };
  }
  pass(whole, caller);
  return { kind: 'delivered' };
}

/** The whole answer; undefined where its body broke off. */
async function wholeOf({ head, body }: UpstreamResponse): Promise<WholeAnswer | undefined> {
  try {
    const bytes = await gather(body, Infinity);
    return bytes.isOk() ? { head, body: bytes.value } : undefined;
  } catch {
    return undefined;
  }
}

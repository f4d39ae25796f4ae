/**
 * Serves requests: picks a target, sends the request, forwards the response, and retries where the
 * kind of the route, the deadline and the retry budget allow it.
 */

import type { Clock, Logger, Metrics, Millis, Random, UpstreamId } from '@tanagercart/base';
import { formatRange } from '@tanagercart/layers';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { jitter } from './jitter.js';
import { deadlineOf, isRepeatable, isStream } from './call.js';
import type { Call, Caller } from './call.js';
import { Attempts } from './attempts.js';
import type { AttemptNews, RunningAttempt } from './attempts.js';
import type { Availability } from './availability.js';
import type { RetryBudget } from './budget.js';
import type { Contact, Health } from './health.js';
import type { Loads } from './loads.js';
import { decideRetry } from './retry.js';
import type { Failure } from './retry.js';
import { SilenceWatch } from './silence.js';
import type { Silence, SilenceTimeouts } from './silence.js';
import { CrashWatch } from './crashwatch.js';
import { fingerprintOf, sharedPartsOf } from './quarantine.js';
import type { Quarantine } from './quarantine.js';
import { StreamDelivery } from './stream.js';
import type { Balancer, NoTarget, Target } from './balancer.js';
import { LogRateLimit, RequestLog } from './requestlog.js';
import { failureOf, readResponse, sendResponse } from './outcome.js';
import type { AttemptOutcome, CompleteResponse } from './outcome.js';
import { maxPermitWaitMs } from './permitwait.js';
import type { UpstreamClient, UpstreamResponse } from './upstream.js';

/** Fraction of the remaining time after which another attempt runs beside an unanswered one. */
const responseTimeoutRatio = 0.5;

/** A stream without a first event is tried elsewhere as well after this multiple of its objective. */
const firstEventTimeoutFactor = 4;

/** A stream without an event for this long is tried elsewhere as well, before its caller disconnects. */
const maxGapMs: Millis = 1900;

/** Fraction of its objective after which the upstream of a silent stream is probed. */
const probeDelayRatio = 0.6;

/**
 * Mean retry-after time of refused requests, before jitter and in addition to the time until an
 * upstream accepts requests again.
 */
const meanRetryAfterMs: Millis = 400;

/** After this many refusals of permits, an attempt goes only to upstreams without a limit. */
const maxPermitRefusals = 6;

/** Retry-after time of quarantined requests. */
const quarantineRetryAfterMs: Millis = 30_000;

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
  readonly availability: Availability;
}

/** State of one request over all of its attempts. */
interface RequestState {
  readonly call: Call;
  readonly caller: Caller;
  readonly attempts: Attempts;
  /** Time at which the request ends. */
  readonly deadline: Millis;
  /** Upstreams that caused an attempt to fail; the request is not sent to them again. */
  readonly excluded: Set<UpstreamId>;
  /** Undefined where the response is not a stream. */
  readonly delivery: StreamDelivery | undefined;
  readonly log: RequestLog;
  sends: number;
  /** Upstreams that may have run the request. */
  readonly mayHaveRun: Set<UpstreamId>;
  /** The last complete error response; sent to the caller where no attempt succeeds. */
  errorResponse: CompleteResponse | undefined;
  /** Whether an upstream crashed under the request when it, or a part, was suspected before. */
  mayCrashAgain: boolean;
}

/** Serves the requests of callers from upstreams. */
export class Relay {
  private readonly logRateLimit: LogRateLimit;
  private readonly crashes: CrashWatch;

  private constructor(private readonly o: RelayOptions) {
    this.logRateLimit = LogRateLimit.create(o.clock, o.logger);
    this.crashes = CrashWatch.create(o);
  }

  static create(options: RelayOptions): Relay {
    return new Relay(options);
  }

  /** Serves one request until it is answered, refused or its caller disconnects. Never throws. */
  async serve(call: Call, caller: Caller): Promise<void> {
    const { clock, budget, logger, metrics } = this.o;
    budget.recordRequest(call.service.id);
    if (this.isQuarantined(call)) {
      caller.refuse({
        kind: 'not-run',
        reason: 'quarantined',
        retryAfterMs: quarantineRetryAfterMs,
      });
      return;
    }
    const deadline = deadlineOf(call);
    const stop = new AbortController();
    const abort = () => stop.abort();
    caller.disconnected.addEventListener('abort', abort, { once: true });
    if (caller.disconnected.aborted) stop.abort();
    const state: RequestState = {
      call,
      caller,
      attempts: Attempts.create(stop.signal),
      deadline,
      excluded: new Set(),
      delivery: isStream(call) ? StreamDelivery.create(call, caller, clock) : undefined,
      log: RequestLog.create(logger, clock, this.logRateLimit, call),
      sends: 0,
      mayHaveRun: new Set(),
      errorResponse: undefined,
      mayCrashAgain: false,
    };
    const expired = clock.sleep(deadline - clock.now(), stop.signal).then(() => 'expired' as const);
    const served = this.runAttempts(state, stop.signal);
    const first = await Promise.race([served, expired]);
    if (first === 'expired' && !stop.signal.aborted) this.expire(state);
    if (caller.disconnected.aborted) state.log.info('The caller left.', { sends: state.sends });
    stop.abort();
    const delivered = await served;
    const tookMs = clock.now() - call.startedAt;
    metrics.observe('request.ms', tookMs, { kind: call.route.kind });
    state.log.end(!delivered || state.sends > 1);
    caller.disconnected.removeEventListener('abort', abort);
  }

  /** Whether the request is quarantined because equal ones crash upstreams. */
  private isQuarantined(call: Call): boolean {
    const { quarantine, logger } = this.o;
    if (quarantine.isEmpty()) return false;
    const subjects = [...sharedPartsOf(call), fingerprintOf(call)];
    const fingerprint = subjects.find((subject) => quarantine.has(subject));
    if (fingerprint === undefined) return false;
    logger.info('Refused, as it crashes upstreams.', { request: call.id, fingerprint });
    return true;
  }

  /** Ends a request whose deadline passed before its response was complete. */
  private expire(state: RequestState): void {
    const { call, caller, delivery, mayHaveRun, errorResponse } = state;
    const started = delivery?.started ?? false;
    state.log.info('Deadline passed.', { runs: mayHaveRun.size, started });
    this.o.metrics.count('request.expired', { kind: call.route.kind });
    if (started) caller.abort();
    else if (errorResponse) sendResponse(errorResponse, caller);
    else caller.refuse({ kind: 'timeout', reason: 'no answer within the time of the request' });
  }

  /**
   * Sends the request until it has a response or may not be retried. Returns whether the response
   * of an upstream was delivered completely.
   */
  private async runAttempts(state: RequestState, stop: AbortSignal): Promise<boolean> {
    const { attempts } = state;
    const missing = await this.startAttempt(state, stop);
    if (missing !== undefined && !stop.aborted) this.giveUp(state, missing);
    const delivered = missing === undefined && (await this.awaitDelivery(state, stop));
    await attempts.end();
    return delivered;
  }

  /** Sends the request again as attempts fail or are silent, until one of them delivers. */
  private async awaitDelivery(state: RequestState, stop: AbortSignal): Promise<boolean> {
    for (;;) {
      const news = await state.attempts.next();
      if (!news) return false;
      if (news.kind === 'ended' && news.outcome.kind === 'delivered') return true;
      const reason = await this.tryElsewhere(state, news, stop);
      if (stop.aborted) return false;
      if (state.attempts.areOver) {
        this.giveUp(state, reason);
        return false;
      }
    }
  }

  /**
   * Sends the request again after an attempt has failed, or beside one that is silent, where it may
   * be and no other attempt is going on. Returns why it would be given up if none is left.
   */
  private async tryElsewhere(
    state: RequestState,
    news: AttemptNews,
    stop: AbortSignal,
  ): Promise<string> {
    const { attempts } = state;
    if (news.kind === 'silent') this.recordSilence(state, news.attempt, news.silence);
    const failure = failureIn(news);
    if (attempts.hasActive || !this.acquireRetry(state, failure)) return failure;
    return (await this.startAttempt(state, stop)) ?? failure;
  }

  /** Starts an attempt; returns why there is no target for it, where there is none. */
  private async startAttempt(
    state: RequestState,
    stop: AbortSignal,
  ): Promise<NoTarget | undefined> {
    const { attempts } = state;
    const target = await this.acquireTarget(state, stop);
    if (stop.aborted) return undefined;
    if (typeof target === 'string') return target;
    // One that was silent may have gone on in the meantime.
    if (attempts.hasActive) return undefined;
    attempts.start(target, this.o.clock.now(), (attempt) => this.runAttempt(state, attempt));
    return undefined;
  }

  /** Picks a target and waits for the permit to send it the request. */
  private async acquireTarget(state: RequestState, stop: AbortSignal): Promise<Target | NoTarget> {
    const { call, excluded } = state;
    const { balancer, availability } = this.o;
    const maxWaitMs = maxPermitWaitMs(call, state.delivery?.started ?? false);
    const refused = new Set<UpstreamId>();
    for (;;) {
      // Once the route's attempts are used up, only upstreams that may have run it get it again.
      const attemptsExhausted = state.mayHaveRun.size >= call.route.maxAttempts;
      const receivers = attemptsExhausted ? state.mayHaveRun : undefined;
      const withoutPermit = refused.size < maxPermitRefusals ? refused : 'all-limited';
      const target = balancer.pick(call, { excluded, receivers, withoutPermit, maxWaitMs });
      if (typeof target === 'string') return target;
      const { upstream } = target;
      const permit = await availability.acquire(upstream, maxWaitMs, stop);
      if (stop.aborted) return target;
      if (permit.kind === 'refused') {
        refused.add(upstream.id);
        state.log.info('No permit.', { upstream: upstream.id, waitMs: Math.round(permit.waitMs) });
      } else if (balancer.isReady(upstream)) return target;
    }
  }

  /** Whether the request may be sent again; takes a retry from the budget where it needs one. */
  private acquireRetry(state: RequestState, failure: Failure): boolean {
    const { call, mayHaveRun, excluded, sends, deadline } = state;
    const decision = decideRetry({
      failure,
      repeatable: isRepeatable(call),
      runs: mayHaveRun.size,
      maxAttempts: call.route.maxAttempts,
      mayRunAgain: [...mayHaveRun].some((id) => !excluded.has(id)),
      sends,
      remainingMs: deadline - this.o.clock.now(),
    });
    if (decision === 'give-up' || state.mayCrashAgain) return false;
    if (failure === 'unreachable') return true;
    const granted = this.o.budget.tryAcquire(call.service.id);
    const reason = failure;
    if (granted) this.o.metrics.count('request.retried', { reason });
    else this.o.metrics.count('request.retry-refused', { reason });
    if (!granted) state.log.info('No budget for another attempt.', { reason });
    return granted;
  }

  /** Ends a request that is not retried, with the most definite result that is known. */
  private giveUp(state: RequestState, reason: string): void {
    const { caller, delivery, mayHaveRun, errorResponse } = state;
    state.log.info('Gave up.', { reason, runs: mayHaveRun.size, sends: state.sends });
    this.o.metrics.count('request.given-up', { reason });
    if (delivery?.started) {
      caller.abort();
    } else if (errorResponse) {
      sendResponse(errorResponse, caller);
    } else if (mayHaveRun.size > 0) {
      caller.refuse({ kind: 'unknown', reason });
    } else {
      // Nobody is asked to come back before an upstream accepts requests again.
      const freeMs = this.o.balancer.nextFreeMs(state.call);
      const retryAfterMs = freeMs + jitter(this.o.random, meanRetryAfterMs);
      caller.refuse({ kind: 'not-run', reason, retryAfterMs });
    }
  }

  /** Sends the request to the target of an attempt and records the outcome. */
  private async runAttempt(state: RequestState, attempt: RunningAttempt): Promise<AttemptOutcome> {
    const { clock, client, loads } = this.o;
    const { call, delivery, attempts, deadline } = state;
    const { upstream, path, requestLoads } = attempt.target;
    const { signal } = attempt.stop;
    const release = loads.add(requestLoads);
    state.sends += 1;
    state.log.info('Sending.', {
      attempt: state.sends,
      upstream: upstream.id,
      path: path?.map((p) => `${p.stage.address}=${formatRange(p.layers)}`).join(' '),
      lastEvent: delivery?.lastEvent,
    });
    const remainingMs = deadline - attempt.startedAt;
    const watch = SilenceWatch.create({
      clock,
      timeouts: silenceTimeoutsFor(call, remainingMs, isLastUpstream(state, upstream.id)),
      probe: () => client.probe(call, upstream),
      isHeldByCaller: () => delivery?.isHeldByCaller ?? false,
      onSilent: (silence) => attempts.recordSilence(attempt, silence),
      onGone: (detail) => attempt.recordGone(detail),
    });
    const details = { upstream, path, remainingMs, lastEvent: delivery?.lastEvent };
    const sent = await client.send(call, details, signal);
    const response = sent.isOk() ? sent.value : undefined;
    if (response) this.o.availability.record(call.id, upstream, response.notices);
    const received: AttemptOutcome = response
      ? await forwardResponse(state, attempt, response, (count) => {
          this.recordActivity(state, attempt, watch.quietMs);
          watch.recordActivity();
          this.crashes.recordEvents(call, attempt.events, count);
          attempt.recordEvents(count);
        })
      : failureOf(sent._unsafeUnwrapErr());
    watch.end();
    release();
    const outcome = endOf(received, attempt);
    attempt.stop.abort();
    this.recordOutcome(state, attempt, outcome, response);
    return outcome;
  }

  /** Records that a part of a response arrived, and lets its attempt serve the caller. */
  private recordActivity(state: RequestState, attempt: RunningAttempt, quietMs: Millis): void {
    const { upstream } = attempt.target;
    if (attempt.silence) {
      state.log.info('The upstream goes on.', {
        upstream: upstream.id,
        quietMs: Math.round(quietMs),
      });
      this.o.metrics.count('attempt.went-on', { kind: state.call.route.kind });
      if (attempt.silence.kind === 'silent') this.o.health.recordReturn(upstream);
    }
    state.attempts.choose(attempt);
  }

  /** Records a silent attempt in the log, the metrics and the health of the upstream. */
  private recordSilence(state: RequestState, attempt: RunningAttempt, silence: Silence): void {
    const { upstream } = attempt.target;
    const address = silence.kind === 'blocked' ? silence.address : undefined;
    state.log.info('No event for a while.', {
      upstream: upstream.id,
      silence: silence.kind,
      detail: silence.kind === 'silent' ? silence.detail : undefined,
      culprit: address,
      tookMs: Math.round(this.o.clock.now() - attempt.startedAt),
    });
    this.o.metrics.count('attempt.silent', { kind: silence.kind });
    attempt.mayHaveRun ||= !state.mayHaveRun.has(upstream.id);
    state.mayHaveRun.add(upstream.id);
    if (silence.kind === 'cut-off') return;
    this.recordFailure(
      state,
      upstream,
      address,
      silence.kind === 'overdue' ? 'answered' : 'silent',
    );
  }

  /** Leaves an upstream, or the one at `culprit`, out for this request and avoids it for others. */
  private recordFailure(
    { excluded }: RequestState,
    upstream: UpstreamRecord,
    culprit: string | undefined,
    contact: Contact,
  ): void {
    const known = culprit === undefined ? undefined : this.o.balancer.upstreamAt(culprit);
    const failed = known ?? upstream;
    excluded.add(failed.id);
    this.o.health.recordFailure(failed, contact);
  }

  /** Records the outcome of an attempt in the log, the metrics and the health of the upstream. */
  private recordOutcome(
    state: RequestState,
    { target, startedAt, events, mayHaveRun }: RunningAttempt,
    outcome: AttemptOutcome,
    response: UpstreamResponse | undefined,
  ): void {
    if (outcome.kind === 'cancelled') return;
    const { call } = state;
    const { upstream } = target;
    const tookMs = this.o.clock.now() - startedAt;
    const took = Math.round(tookMs);
    if (outcome.kind === 'delivered') {
      const { firstEventAt, longestGapMs } = state.delivery ?? {};
      const firstMs =
        firstEventAt === undefined ? undefined : Math.round(firstEventAt - call.startedAt);
      const pauseMs = longestGapMs === undefined ? undefined : Math.round(longestGapMs);
      this.crashes.recordAnswer(call, events);
      state.log.info('Delivered.', { upstream: upstream.id, tookMs: took, firstMs, pauseMs });
      this.o.metrics.count('request.delivered', { kind: call.route.kind });
      this.o.health.recordSuccess(upstream, tookMs);
      return;
    }
    const { failure, detail, contact = 'answered' } = outcome;
    const culprit = response?.culprit;
    const fields = { upstream: upstream.id, failure, detail, culprit, tookMs: took };
    state.log.info('Attempt failed.', fields);
    this.o.metrics.count('attempt.failed', { reason: failure });
    if (failure === 'broken') state.mayHaveRun.add(upstream.id);
    const hasNotRun = failure === 'not-run' || failure === 'unreachable';
    if (hasNotRun && mayHaveRun) state.mayHaveRun.delete(upstream.id);
    state.errorResponse = outcome.response ?? state.errorResponse;
    if (failure === 'failed') this.crashes.recordAnswer(call, events);
    if (failure === 'broken' && contact !== 'gone' && culprit === undefined) {
      state.mayCrashAgain = this.crashes.recordBreak(call, upstream, events, tookMs);
    }
    this.recordFailure(state, upstream, culprit, contact);
  }
}

/** The failure that news is, for a request that is not yet answered. */
function failureIn(news: AttemptNews): Failure {
  return news.kind === 'ended' && news.outcome.kind === 'failed' ? news.outcome.failure : 'silent';
}

/** How an attempt ended that received `received`. */
function endOf(received: AttemptOutcome, { stop, gone }: RunningAttempt): AttemptOutcome {
  if (received.kind === 'delivered') return received;
  if (gone !== undefined) {
    return { kind: 'failed', failure: 'broken', detail: gone, contact: 'gone' };
  }
  return stop.signal.aborted ? { kind: 'cancelled' } : received;
}

/**
 * How long an attempt may go without an event before the request is tried elsewhere as well. There
 * is no limit where the request may not run again or where no other upstream may run it (`isLast`);
 * a stream is still probed in the latter case, as its upstream may be gone.
 */
export function silenceTimeoutsFor(
  call: Call,
  remainingMs: Millis,
  isLast: boolean,
): SilenceTimeouts {
  if (!isRepeatable(call)) return { firstEventMs: Infinity, gapMs: Infinity, probeMs: undefined };
  const { latencyTargetMs, maxEventGapMs } = call.route;
  const probeMs = Math.min(latencyTargetMs * probeDelayRatio, (maxEventGapMs ?? Infinity) * 1.5);
  if (isLast) {
    return {
      firstEventMs: Infinity,
      gapMs: Infinity,
      probeMs: isStream(call) ? probeMs : undefined,
    };
  }
  if (!isStream(call)) {
    const ms = remainingMs * responseTimeoutRatio;
    return { firstEventMs: ms, gapMs: ms, probeMs: undefined };
  }
  const firstEventMs = Math.min(remainingMs, latencyTargetMs * firstEventTimeoutFactor);
  return { firstEventMs, gapMs: maxGapMs, probeMs };
}

/** Whether no upstream but this one and earlier ones may run the request. */
function isLastUpstream({ call, mayHaveRun }: RequestState, upstream: UpstreamId): boolean {
  return new Set([...mayHaveRun, upstream]).size >= call.route.maxAttempts;
}

/**
 * Forwards a response to the caller. An error response to a repeatable request is not forwarded, as
 * another attempt may succeed; nor is one after a stream has begun, of which it is no part.
 */
async function forwardResponse(
  state: RequestState,
  attempt: RunningAttempt,
  response: UpstreamResponse,
  onEvents: (count: number) => void,
): Promise<AttemptOutcome> {
  const { call, caller, delivery, attempts } = state;
  const { status } = response.head;
  const { signal } = attempt.stop;
  if (response.notices.notRun) {
    return { kind: 'failed', failure: 'not-run', detail: `status ${status}` };
  }
  state.mayHaveRun.add(attempt.target.upstream.id);
  if (delivery && status === 200) {
    const outcome = await delivery.forward(response, onEvents, signal);
    if (outcome === 'complete') return { kind: 'delivered' };
    return { kind: 'failed', failure: 'broken', detail: 'the stream broke off' };
  }
  if (delivery?.started) return { kind: 'failed', failure: 'failed', detail: `status ${status}` };
  const complete = await readResponse(response);
  if (!complete) return { kind: 'failed', failure: 'broken', detail: 'the answer broke off' };
  if (status >= 500 && isRepeatable(call)) {
    return { kind: 'failed', failure: 'failed', detail: `status ${status}`, response: complete };
  }
  if (signal.aborted) return { kind: 'cancelled' };
  if (delivery?.started) return { kind: 'failed', failure: 'failed', detail: `status ${status}` };
  attempts.choose(attempt);
  sendResponse(complete, caller);
  return { kind: 'delivered' };
}

/**
 * Serves requests: picks a target, sends the request, forwards the response, and retries where the
 * kind of the route, the deadline and the retry budget allow it.
 */

import type { Clock, Logger, Metrics, Millis, Random } from '@tanagercart/base';
import { formatRange } from '@tanagercart/layers';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { jitter } from './jitter.js';
import { deadlineOf, isRepeatable, isStream } from './call.js';
import type { Call, Caller } from './call.js';
import { AttemptPace } from './attemptpace.js';
import { Attempts } from './attempts.js';
import type { AttemptNews, RunningAttempt } from './attempts.js';
import type { Availability } from './availability.js';
import type { RetryBudget } from './budget.js';
import type { Health } from './health.js';
import type { Loads } from './loads.js';
import { decideRetry } from './retry.js';
import type { Failure } from './retry.js';
import { SilenceWatch } from './silence.js';
import type { Silence } from './silence.js';
import { silenceTimeoutsFor } from './silencetimeouts.js';
import { CrashWatch } from './crashwatch.js';
import { forwardResponse } from './forwarding.js';
import type { RequestState } from './requeststate.js';
import { fingerprintOf, sharedPartsOf } from './quarantine.js';
import type { Quarantine } from './quarantine.js';
import { StreamDelivery } from './stream.js';
import type { Balancer, Target } from './balancer.js';
import { LogRateLimit, RequestLog } from './requestlog.js';
import { Exclusions } from './exclusions.js';
import type { Holding, Intake } from './intake.js';
import type { RoomAdmission } from './roomadmission.js';
import { Overrun } from './overrun.js';
import type { PaceLimits } from './pacelimits.js';
import { failureOf, failureOfRead, sendResponse } from './outcome.js';
import type { AttemptOutcome } from './outcome.js';
import { Targets } from './targets.js';
import type { UpstreamClient, UpstreamResponse } from './upstream.js';

/**
 * Mean retry-after time of refused requests, before jitter and in addition to the time until an
 * upstream accepts requests again.
 */
const meanRetryAfterMs: Millis = 400;

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
  readonly intake: Intake;
  readonly availability: Availability;
  /** Refuses requests for which there is no room; without it, all are admitted. */
  readonly admission?: Pick<RoomAdmission, 'admit'>;
  /** Receives the answers of upstreams; none is paced where it is missing. */
  readonly paces?: PaceLimits;
}

/** Serves the requests of callers from upstreams. */
export class Relay {
  private readonly logRateLimit: LogRateLimit;
  private readonly crashes: CrashWatch;
  private readonly targets: Targets;

  private constructor(private readonly o: RelayOptions) {
    this.logRateLimit = LogRateLimit.create(o.clock, o.logger);
    this.crashes = CrashWatch.create(o);
    this.targets = Targets.create(o);
  }

  static create(options: RelayOptions): Relay {
    return new Relay(options);
  }

  /**
   * Serves one request until it is answered, refused or its caller disconnects. Throws only what an
   * attempt throws unexpectedly.
   */
  async serve(call: Call, caller: Caller): Promise<void> {
    const admittance = this.o.admission?.admit(call);
    if (admittance?.kind === 'refused') {
      const { retryAfterMs } = admittance;
      caller.refuse({ kind: 'not-run', reason: 'no-room', retryAfterMs });
      return;
    }
    try {
      await this.serveAdmitted(call, caller);
    } finally {
      admittance?.end();
    }
  }

  private async serveAdmitted(call: Call, caller: Caller): Promise<void> {
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
      exclusions: Exclusions.create(),
      delivery: isStream(call) ? StreamDelivery.create(call, caller, clock) : undefined,
      log: RequestLog.create(logger, clock, this.logRateLimit, call),
      keptError: undefined,
      mayCrashAgain: false,
    };
    let delivered = false;
    try {
      delivered = await this.serveUntil(state, stop);
    } finally {
      stop.abort();
      await state.attempts.join();
      if (state.keptError) this.o.intake.close(state.keptError.holding);
      const tookMs = clock.now() - call.startedAt;
      metrics.observe('request.ms', tookMs, { kind: call.route.kind });
      state.log.end(!delivered || state.attempts.count > 1);
      caller.disconnected.removeEventListener('abort', abort);
    }
  }

  /** Runs attempts until the request ends; returns whether a response was delivered completely. */
  private async serveUntil(state: RequestState, stop: AbortController): Promise<boolean> {
    const { caller, attempts, deadline } = state;
    const { clock } = this.o;
    const expired = clock.sleep(deadline - clock.now(), stop.signal).then(() => 'expired' as const);
    const served = this.runAttempts(state, stop.signal);
    const first = await Promise.race([served, expired]);
    if (first === 'expired' && !stop.signal.aborted) this.expire(state);
    if (caller.disconnected.aborted) state.log.info('The caller left.', { sends: attempts.count });
    stop.abort();
    return served;
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
    const { call, caller, delivery, attempts, keptError } = state;
    const started = delivery?.started ?? false;
    state.log.info('Deadline passed.', { runs: attempts.mayHaveRun.size, started });
    this.o.metrics.count('request.expired', { kind: call.route.kind });
    if (started) caller.abort();
    else if (keptError) sendResponse(keptError.response, caller);
    else caller.refuse({ kind: 'timeout', reason: 'no answer within the time of the request' });
  }

  /**
   * Sends the request until it has a response or may not be retried. Returns whether the response
   * of an upstream was delivered completely.
   */
  private async runAttempts(state: RequestState, stop: AbortSignal): Promise<boolean> {
    const target = await this.targets.acquire(state, stop);
    if (stop.aborted) return false;
    if (typeof target === 'string') {
      this.giveUp(state, target);
      return false;
    }
    this.startAttempt(state, target);
    return this.awaitDelivery(state, stop);
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
    if (attempts.hasActive || !this.mayRetry(state, news, failure)) return failure;
    const target = await this.targets.acquire(state, stop);
    if (typeof target === 'string') return target;
    // One that was silent may have gone on in the meantime.
    if (stop.aborted || attempts.hasActive) return failure;
    if (this.acquireRetry(state, failure)) this.startAttempt(state, target);
    return failure;
  }

  private startAttempt(state: RequestState, target: Target): void {
    const run = (attempt: RunningAttempt) => this.runAttempt(state, attempt);
    state.attempts.start(target, this.o.clock.now(), run);
  }

  /** Whether the request may be sent again. */
  private mayRetry(state: RequestState, news: AttemptNews, failure: Failure): boolean {
    const { call, attempts, deadline } = state;
    // The silent upstream may have crashed under the request, and another one would.
    const isSuspected = news.kind === 'silent' && this.crashes.isSuspected(call);
    if (state.mayCrashAgain || isSuspected) return false;
    const { mayHaveRun } = attempts;
    const decision = decideRetry({
      failure,
      repeatable: isRepeatable(call),
      runs: mayHaveRun.size,
      maxAttempts: call.route.maxAttempts,
      mayRunAgain: this.targets.mayRunAgain(state),
      sends: attempts.count - attempts.misses,
      misses: attempts.misses,
      remainingMs: deadline - this.o.clock.now(),
    });
    return decision === 'retry';
  }

  /** Takes a retry from the budget, where the request needs one to be sent again. */
  private acquireRetry({ call, log }: RequestState, failure: Failure): boolean {
    if (failure === 'unreachable') return true;
    const granted = this.o.budget.tryAcquire(call.service.id);
    const reason = failure;
    if (granted) this.o.metrics.count('request.retried', { reason });
    else this.o.metrics.count('request.retry-refused', { reason });
    if (!granted) log.info('No budget for another attempt.', { reason });
    return granted;
  }

  /** Ends a request that is not retried, with the most definite result that is known. */
  private giveUp(state: RequestState, reason: string): void {
    const { caller, delivery, attempts, keptError } = state;
    const { mayHaveRun } = attempts;
    state.log.info('Gave up.', { reason, runs: mayHaveRun.size, sends: attempts.count });
    this.o.metrics.count('request.given-up', { reason });
    if (delivery?.started) {
      caller.abort();
    } else if (keptError) {
      sendResponse(keptError.response, caller);
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
    const { clock, client, loads, intake, metrics, paces } = this.o;
    const { call, delivery, attempts, deadline } = state;
    const { upstream, path, requestLoads, link } = attempt.target;
    const { signal } = attempt.stop;
    const pace = paces && AttemptPace.create(paces, clock, call, attempt);
    const release = loads.add(requestLoads);
    const recordTransferred = loads.transfers.add(call.service.id, link?.bytes ?? 0);
    const closedLink = link?.decision === 'open' ? undefined : link;
    if (closedLink) metrics.count('attempt.link-full', { decision: closedLink.decision });
    state.log.info('Sending.', {
      attempt: attempts.count,
      upstream: upstream.id,
      path: path?.map((p) => `${p.stage.address}=${formatRange(p.layers)}`).join(' '),
      lastEvent: delivery?.lastEvent,
      link: closedLink?.decision,
      linkQueueMs: closedLink && Math.round(closedLink.queueMs),
    });
    const remainingMs = deadline - attempt.startedAt;
    const watch = SilenceWatch.create({
      clock,
      timeouts: silenceTimeoutsFor(call, remainingMs),
      probe: () => client.probe(call, upstream),
      isHeldByCaller: () => delivery?.isHeldByCaller ?? false,
      onSilent: (silence) => {
        // Where no other upstream may run the request, being slow is held against none.
        if (silence.kind === 'overdue' && !this.targets.mayRunElsewhere(state, upstream.id)) return;
        attempts.recordSilence(attempt, silence);
      },
      onGone: (detail) => attempt.recordGone(detail),
    });
    const details = {
      upstream,
      path,
      remainingMs,
      lastEvent: delivery?.lastEvent,
      needsNewConnection: state.exclusions.hasCrossed(upstream),
    };
    attempt.isResumed = details.lastEvent !== undefined;
    const onEvents = (count: number) => {
      recordTransferred();
      this.recordActivity(state, attempt, watch.quietMs);
      watch.recordActivity();
      if (attempt.events === 0) pace?.recordAnswer();
      this.crashes.recordEvents(call, attempt.events, count);
      attempt.recordEvents(count);
    };
    const holding = this.openHolding(state, attempt);
    try {
      const sent = await client.send(call, details, signal);
      const response = sent.isOk() ? sent.value : undefined;
      if (response && !delivery) recordTransferred();
      if (response) this.o.availability.record(call.id, upstream, response.notices);
      const received = response
        ? await forwardResponse(state, attempt, response, onEvents, holding)
        : failureOf(sent._unsafeUnwrapErr());
      const outcome = endOf(received, attempt);
      this.recordOutcome(state, attempt, outcome, response);
      pace?.recordEnd(outcome, this.upstreamAtFault(upstream, response?.culprit), response);
      this.keepErrorResponse(state, outcome, holding);
      return outcome;
    } finally {
      watch.end();
      release();
      recordTransferred();
      if (state.keptError?.holding !== holding) intake.close(holding);
      attempt.stop.abort();
    }
  }

  /** Opens the holding of an attempt; where it gives way, the attempt fails or its error is dropped. */
  private openHolding(state: RequestState, attempt: RunningAttempt): Holding {
    const holding = this.o.intake.open(attempt.target.upstream.id, () => {
      attempt.recordOverrun(Overrun.create('memory', 'all attempts hold too much, this one most'));
      if (state.keptError?.holding === holding) state.keptError = undefined;
    });
    return holding;
  }

  /** Keeps the last complete error response, for a request that gets no other. */
  private keepErrorResponse(state: RequestState, outcome: AttemptOutcome, holding: Holding): void {
    if (outcome.kind !== 'failed' || !outcome.response) return;
    if (state.keptError) this.o.intake.close(state.keptError.holding);
    state.keptError = { response: outcome.response, holding };
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
      if (attempt.blamed) {
        this.o.health.recordReturn(attempt.blamed);
        state.exclusions.recordReturn(attempt.blamed);
      }
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
    if (silence.kind === 'cut-off') return;
    const blamed = this.upstreamAtFault(upstream, address);
    const pacedAnswer = silence.kind === 'overdue' ? 'slow' : 'failed';
    // Each further silence of an attempt is the same one.
    if (!attempt.blamed) this.o.paces?.record(blamed, pacedAnswer, attempt.startedAt);
    attempt.blame(blamed);
    state.exclusions.recordSilence(blamed);
    this.o.health.recordFailure(blamed, silence.kind === 'overdue' ? 'answered' : 'silent');
  }

  /** The upstream at `culprit`, or else the one that received the request. */
  private upstreamAtFault(receiver: UpstreamRecord, culprit: string | undefined): UpstreamRecord {
    const known = culprit === undefined ? undefined : this.o.balancer.upstreamAt(culprit);
    return known ?? receiver;
  }

  /** Records the outcome of an attempt in the log, the metrics and the health of the upstream. */
  private recordOutcome(
    state: RequestState,
    { target, startedAt, events, isResumed }: RunningAttempt,
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
      this.crashes.recordAnswer(call, events, isResumed);
      state.log.info('Delivered.', { upstream: upstream.id, tookMs: took, firstMs, pauseMs });
      this.o.metrics.count('request.delivered', { kind: call.route.kind });
      this.o.health.recordSuccess(upstream, tookMs);
      return;
    }
    const { failure, detail, overrun, contact = 'answered' } = outcome;
    const culprit = response?.culprit;
    const crossed = contact === 'crossed' ? true : undefined;
    const fields = { upstream: upstream.id, failure, detail, culprit, crossed, tookMs: took };
    state.log.info('Attempt failed.', fields);
    this.o.metrics.count('attempt.failed', { reason: crossed ? 'crossed' : failure });
    if (overrun !== undefined) this.o.metrics.count('attempt.overrun', { kind: overrun });
    if (failure === 'failed') this.crashes.recordError(call);
    // An upstream that sends too much has not crashed under the request.
    const mayHaveCrashed = contact !== 'gone' && overrun === undefined;
    if (failure === 'broken' && mayHaveCrashed && culprit === undefined) {
      state.mayCrashAgain = this.crashes.recordBreak(call, upstream, events, tookMs);
    }
    const failed = this.upstreamAtFault(upstream, culprit);
    if (contact === 'crossed') {
      state.exclusions.recordCrossing(failed);
      return;
    }
    // One that only did not accept a connection in time may do so a moment later.
    if (contact === 'silent') state.exclusions.recordSilence(failed);
    else state.exclusions.recordFailure(failed);
    this.o.health.recordFailure(failed, contact);
  }
}

/** The failure that news is, for a request that is not yet answered. */
function failureIn(news: AttemptNews): Failure {
  return news.kind === 'ended' && news.outcome.kind === 'failed' ? news.outcome.failure : 'silent';
}

/** How an attempt ended that received `received`. */
function endOf(
  received: AttemptOutcome,
  { isCancelled, gone, overrun }: RunningAttempt,
): AttemptOutcome {
  if (received.kind === 'delivered') return received;
  if (overrun) return failureOfRead({ detail: overrun.message, overrun: overrun.kind });
  if (gone !== undefined) {
    return { kind: 'failed', failure: 'broken', detail: gone, contact: 'gone' };
  }
  return isCancelled ? { kind: 'cancelled' } : received;
}

/** Serves requests: chooses a target, sends, and tries again where that is allowed. */

import type { Clock, Logger, Millis, Random, UpstreamId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { deadlineOf, isRepeatable, isStream } from './call.js';
import type { AnswerHead, Call, Caller } from './call.js';
import type { RetryBudget } from './budget.js';
import type { Health } from './health.js';
import type { Loads } from './loads.js';
import { nextStep } from './retry.js';
import type { Failure } from './retry.js';
import { StreamDelivery } from './stream.js';
import type { StreamEnd } from './stream.js';
import type { Target, Targets } from './target.js';
import type { UpstreamAnswer, UpstreamClient } from './upstream.js';

/** Share of the remaining time after which a silent attempt is given up for another. */
const silentShare = 0.5;

/** A stream without its first event is tried elsewhere after this multiple of its objective. */
const firstEventFactor = 3;
const leastFirstEventMs: Millis = 1200;

/** When a refused caller may come back. */
const retryAfterMs: Millis = 400;

export interface RelayOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly client: UpstreamClient;
  readonly targets: Targets;
  readonly health: Health;
  readonly loads: Loads;
  readonly budget: RetryBudget;
  /** Counts outcomes by name. */
  readonly count: (name: string, reason: string) => void;
}

/** What the attempts of one request have in common. */
interface Progress {
  readonly call: Call;
  readonly caller: Caller;
  readonly excluded: Set<UpstreamId>;
  readonly delivery: StreamDelivery | undefined;
  sends: number;
  runs: number;
}

/** How an attempt ended. */
type AttemptEnd =
  | { readonly kind: 'delivered' }
  | {
      readonly kind: 'failed';
      readonly failure: Failure;
      readonly detail: string;
      readonly answer?: WholeAnswer;
    };

interface WholeAnswer {
  readonly head: AnswerHead;
  readonly body: Uint8Array;
}

/** Serves requests of callers. */
export class Relay {
  private constructor(private readonly o: RelayOptions) {}

  static create(options: RelayOptions): Relay {
    return new Relay(options);
  }

  /** Serves one request to its end; never throws. */
  async serve(call: Call, caller: Caller): Promise<void> {
    const { clock, budget } = this.o;
    budget.request(call.service.id);
    const deadline = deadlineOf(call);
    const stop = new AbortController();
    const abort = () => stop.abort();
    caller.gone.addEventListener('abort', abort, { once: true });
    if (caller.gone.aborted) stop.abort();
    const progress: Progress = {
      call,
      caller,
      excluded: new Set(),
      delivery: isStream(call) ? StreamDelivery.create(call, caller, clock) : undefined,
      sends: 0,
      runs: 0,
    };
    const expired = clock.sleep(deadline - clock.now(), stop.signal).then(() => 'expired' as const);
    const served = this.attempts(progress, deadline, stop.signal);
    const first = await Promise.race([served, expired]);
    if (first === 'expired' && !stop.signal.aborted) this.expire(progress);
    stop.abort();
    await served;
    caller.gone.removeEventListener('abort', abort);
  }

  /** The deadline has come before the answer was whole. */
  private expire(progress: Progress): void {
    const { call, caller, delivery, runs } = progress;
    this.tell(call, 'Deadline passed.', { runs, started: delivery?.started ?? false });
    this.o.count('expired', call.route.kind);
    if (delivery?.started) caller.breakOff();
    else caller.refuse({ kind: 'timeout', reason: 'no answer within the time of the request' });
  }

  private async attempts(progress: Progress, deadline: Millis, stop: AbortSignal): Promise<void> {
    const { call } = progress;
    for (;;) {
      const target = this.o.targets.choose(call, progress.excluded);
      if (typeof target === 'string') {
        this.giveUp(progress, target, undefined, stop);
        return;
      }
      const end = await this.attempt(progress, target, deadline, stop);
      if (stop.aborted || end.kind === 'delivered') return;
      if (!this.mayRetry(progress, end, deadline)) {
        this.giveUp(progress, end.failure, end.answer, stop);
        return;
      }
    }
  }

  private mayRetry(
    progress: Progress,
    end: Extract<AttemptEnd, { kind: 'failed' }>,
    deadline: Millis,
  ): boolean {
    const { call, runs, sends } = progress;
    const next = nextStep({
      failure: end.failure,
      repeatable: isRepeatable(call),
      mayHaveRun: runs > 0,
      runs,
      maxAttempts: call.route.maxAttempts,
      sends,
      remainingMs: deadline - this.o.clock.now(),
    });
    if (next === 'give-up') return false;
    if (end.failure === 'unreachable') return true;
    const granted = this.o.budget.tryRepeat(call.service.id);
    this.o.count(granted ? 'retried' : 'retry_refused', end.failure);
    return granted;
  }

  /** Ends a request that goes nowhere any more with what is known of it. */
  private giveUp(
    progress: Progress,
    reason: string,
    answer: WholeAnswer | undefined,
    stop: AbortSignal,
  ): void {
    const { call, caller, delivery, runs } = progress;
    if (stop.aborted) return;
    this.tell(call, 'Gave up.', { reason, runs, sends: progress.sends });
    this.o.count('gave_up', reason);
    if (delivery?.started) {
      caller.breakOff();
    } else if (answer) {
      caller.start(answer.head);
      void caller.write(answer.body);
      caller.end();
    } else if (runs > 0) {
      caller.refuse({ kind: 'unknown', reason });
    } else {
      caller.refuse({ kind: 'not-run', reason, retryAfterMs });
    }
  }

  private async attempt(
    progress: Progress,
    target: Target,
    deadline: Millis,
    stop: AbortSignal,
  ): Promise<AttemptEnd> {
    const { clock, client, loads, health } = this.o;
    const { call, delivery } = progress;
    const { upstream, path } = target;
    const startedAt = clock.now();
    const own = new AbortController();
    const abort = () => own.abort();
    stop.addEventListener('abort', abort, { once: true });
    const release = loads.add(target.shares);
    progress.sends += 1;
    this.tell(call, 'Sending.', {
      attempt: progress.sends,
      upstream: upstream.id,
      path: path?.map((p) => `${p.stage.address}=${p.layers.from}-${p.layers.to}`).join(' '),
      lastEvent: delivery?.lastEvent,
    });
    const remainingMs = deadline - startedAt;
    const boundMs = this.boundOf(call, remainingMs);
    let silent = false;
    const timer = setTimeout(() => {
      silent = true;
      own.abort();
    }, boundMs);
    const attempt = { upstream, path, remainingMs, lastEvent: delivery?.lastEvent };
    const sent = await client.send(call, attempt, own.signal);
    let end: AttemptEnd;
    if (sent.isErr()) {
      const failure = silent ? 'silent' : failureOf(sent.error.kind);
      end = { kind: 'failed', failure, detail: silent ? 'no answer' : detailOf(sent.error) };
    } else {
      end = await this.take(progress, target, sent.value, timer, () => silent, own);
    }
    clearTimeout(timer);
    own.abort();
    release();
    stop.removeEventListener('abort', abort);
    if (stop.aborted && end.kind !== 'delivered') return end;
    this.learn(
      progress,
      upstream,
      end,
      clock.now() - startedAt,
      sent.isOk() ? sent.value : undefined,
    );
    if (end.kind === 'delivered') health.succeeded(upstream, clock.now() - startedAt);
    return end;
  }

  /** How long an attempt may stay silent before it is given up for another. */
  private boundOf(call: Call, remainingMs: Millis): Millis {
    if (!isRepeatable(call)) return remainingMs;
    if (!isStream(call)) return remainingMs * silentShare;
    const first = Math.max(leastFirstEventMs, call.route.objectiveMs * firstEventFactor);
    return Math.min(first, remainingMs);
  }

  /** Passes an answer on, or finds that it has to be had elsewhere. */
  private async take(
    progress: Progress,
    target: Target,
    answer: UpstreamAnswer,
    timer: NodeJS.Timeout,
    isSilent: () => boolean,
    own: AbortController,
  ): Promise<AttemptEnd> {
    const { call, caller, delivery } = progress;
    const { status } = answer.head;
    if (answer.notRun) {
      own.abort();
      return { kind: 'failed', failure: 'not-run', detail: `status ${status}` };
    }
    progress.runs += 1;
    if (delivery && status === 200) {
      const end = await delivery.take(answer, {
        onFirstEvent: () => clearTimeout(timer),
        blockedAt: () => this.o.client.blockedAt(call, target.upstream),
        stop: own,
      });
      return this.endOfStream(progress, end, isSilent());
    }
    const whole = await gather(answer);
    if (!whole) {
      const failure = isSilent() ? 'silent' : 'broken';
      return { kind: 'failed', failure, detail: 'the answer broke off' };
    }
    if (status >= 500 && isRepeatable(call)) {
      return { kind: 'failed', failure: 'failed', detail: `status ${status}`, answer: whole };
    }
    caller.start(whole.head);
    void caller.write(whole.body);
    caller.end();
    return { kind: 'delivered' };
  }

  private endOfStream(progress: Progress, end: StreamEnd, silent: boolean): AttemptEnd {
    if (end.kind === 'complete') return { kind: 'delivered' };
    if (end.kind === 'blocked') {
      const culprit = this.o.targets.byAddress(end.address);
      if (culprit) {
        progress.excluded.add(culprit.id);
        this.o.health.failed(culprit, true);
      }
      return { kind: 'failed', failure: 'broken', detail: `blocked at ${end.address}` };
    }
    return {
      kind: 'failed',
      failure: silent ? 'silent' : 'broken',
      detail: 'the stream broke off',
    };
  }

  /** Takes note of how an attempt ended. */
  private learn(
    progress: Progress,
    upstream: UpstreamRecord,
    end: AttemptEnd,
    tookMs: Millis,
    answer: UpstreamAnswer | undefined,
  ): void {
    const { call, excluded } = progress;
    if (end.kind === 'delivered') {
      this.tell(call, 'Delivered.', { upstream: upstream.id, tookMs: Math.round(tookMs) });
      this.o.count('delivered', call.route.kind);
      return;
    }
    const { failure, detail } = end;
    this.tell(call, 'Attempt failed.', {
      upstream: upstream.id,
      failure,
      detail,
      culprit: answer?.culprit,
      tookMs: Math.round(tookMs),
    });
    this.o.count('attempt_failed', failure);
    if (failure === 'broken' || failure === 'silent') progress.runs += answer ? 0 : 1;
    const culprit =
      answer?.culprit === undefined ? undefined : this.o.targets.byAddress(answer.culprit);
    const blamed = culprit ?? upstream;
    excluded.add(blamed.id);
    const lost = failure === 'unreachable' || failure === 'broken' || failure === 'silent';
    this.o.health.failed(blamed, lost && !detail.startsWith('blocked'));
  }

  private tell(call: Call, sentence: string, fields: Parameters<Logger['info']>[1]): void {
    this.o.logger.info(sentence, { request: call.id, route: call.route.id, ...fields });
  }
}

function failureOf(kind: 'unreachable' | 'broken' | 'cancelled'): Failure {
  return kind === 'unreachable' ? 'unreachable' : 'broken';
}

function detailOf(error: { readonly kind: string; readonly detail?: string }): string {
  return error.detail ?? error.kind;
}

/** The whole body of an answer; undefined where it broke off or is too large to be gathered. */
async function gather(answer: UpstreamAnswer): Promise<WholeAnswer | undefined> {
  const parts: Uint8Array[] = [];
  try {
    for await (const chunk of answer.body) parts.push(chunk);
  } catch {
    return undefined;
  }
  return { head: answer.head, body: Buffer.concat(parts) };
}

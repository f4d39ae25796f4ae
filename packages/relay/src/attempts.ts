/**
 * The attempts of one request that are in progress. Beside one that is silent another may run; the
 * first to go on serves the caller, and ends the others.
 */

import { Bell } from '@tanagercart/base';
import type { Millis, UpstreamId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Target } from './balancer.js';
import type { AttemptOutcome } from './outcome.js';
import type { Overrun } from './overrun.js';
import type { Silence } from './silence.js';

/** One attempt in progress. */
export class RunningAttempt {
  /** Ends the attempt. */
  readonly stop = new AbortController();
  /** Events received so far. */
  events = 0;
  /** Whether it goes on behind an event of an earlier attempt. */
  isResumed = false;
  /** Why it counts as silent; undefined while it does not. */
  silence: Silence | undefined;
  /** What shows that its upstream has ended; undefined as long as nothing does. */
  gone: string | undefined;
  /** Why it had to drop what it held; undefined while it has not. */
  overrun: Overrun | undefined;
  /** Whether it was ended because another one serves the caller, or the request has ended. */
  isCancelled = false;
  /** Whether its upstream may have run the request, as far as is known. */
  mayHaveRun = false;
  /** Whether nothing listened at the address of its upstream. */
  isMiss = false;
  /** The upstream that its silence was held against. */
  blamed: UpstreamRecord | undefined;

  private constructor(
    readonly target: Target,
    readonly startedAt: Millis,
  ) {}

  static create(target: Target, startedAt: Millis): RunningAttempt {
    return new RunningAttempt(target, startedAt);
  }

  /** Whether it is going on, as far as is known. */
  get isActive(): boolean {
    return !this.isCancelled && this.silence === undefined;
  }

  /** Records a silence in which the upstream may run the request. */
  recordSilence(silence: Silence): void {
    this.silence = silence;
    this.mayHaveRun = true;
  }

  /** Records the upstream that a silence is held against. */
  blame(upstream: UpstreamRecord): void {
    this.blamed = upstream;
  }

  recordActivity(): void {
    this.silence = undefined;
    this.blamed = undefined;
  }

  /** Records that the upstream has begun to answer. */
  recordRun(): void {
    this.mayHaveRun = true;
  }

  /** Ends the attempt, as another one serves the caller or the request has ended. */
  cancel(): void {
    this.isCancelled = true;
    this.mayHaveRun = true;
    this.stop.abort();
  }

  /** Records what its end tells of whether the upstream may have run the request. */
  recordEnd(outcome: AttemptOutcome): void {
    const failure = outcome.kind === 'failed' ? outcome.failure : undefined;
    this.mayHaveRun = failure !== 'unreachable' && failure !== 'not-run';
    this.isMiss =
      outcome.kind === 'failed' && failure === 'unreachable' && outcome.contact === 'gone';
  }

  recordEvents(count: number): void {
    this.events += count;
  }

  /** Ends the attempt, as its upstream has ended. */
  recordGone(detail: string): void {
    this.gone = detail;
    this.stop.abort();
  }

  /** Ends the attempt, as it is not to receive any more. */
  recordOverrun(overrun: Overrun): void {
    this.overrun = overrun;
    this.stop.abort();
  }
}

/** What happened to an attempt. */
export type AttemptNews =
  | { readonly kind: 'silent'; readonly attempt: RunningAttempt; readonly silence: Silence }
  | {
      readonly kind: 'ended';
      readonly attempt: RunningAttempt;
      readonly outcome: AttemptOutcome;
    };

/** Runs the attempts of one request. */
export class Attempts {
  private readonly started: RunningAttempt[] = [];
  private readonly running = new Map<RunningAttempt, Promise<void>>();
  private readonly news: AttemptNews[] = [];
  private readonly changed = Bell.create();
  private delivered = false;
  private error: Error | undefined;

  private constructor(private readonly stop: AbortSignal) {
    const cancelAll = () => {
      for (const attempt of this.running.keys()) attempt.cancel();
    };
    stop.addEventListener('abort', cancelAll, { once: true });
  }

  /** Attempts that end when `stop` is aborted. */
  static create(stop: AbortSignal): Attempts {
    return new Attempts(stop);
  }

  /** Whether no attempt is in progress, and all news was taken. */
  get areOver(): boolean {
    return [...this.running.keys()].every((a) => a.isCancelled) && this.news.every(isOutdated);
  }

  /** Whether an attempt has delivered, or one in progress is not silent. */
  get hasActive(): boolean {
    return this.delivered || [...this.running.keys()].some((a) => a.isActive);
  }

  /** Number of attempts that were started. */
  get count(): number {
    return this.started.length;
  }

  /** Number of attempts that found their upstream gone. */
  get misses(): number {
    return this.started.filter((a) => a.isMiss).length;
  }

  /** The upstreams that may have run the request, as far as is known. */
  get mayHaveRun(): ReadonlySet<UpstreamId> {
    return new Set(this.started.filter((a) => a.mayHaveRun).map((a) => a.target.upstream.id));
  }

  /** Whether a silence of an attempt in progress is held against the upstream. */
  isBlamed({ id }: UpstreamRecord): boolean {
    return [...this.running.keys()].some((a) => !a.isCancelled && a.blamed?.id === id);
  }

  /** Starts an attempt; its outcome is news, unless it was cancelled before. */
  start(
    target: Target,
    startedAt: Millis,
    run: (attempt: RunningAttempt) => Promise<AttemptOutcome>,
  ): void {
    const attempt = RunningAttempt.create(target, startedAt);
    this.started.push(attempt);
    this.running.set(attempt, this.follow(attempt, run(attempt)));
  }

  /** Records that an attempt is silent. */
  recordSilence(attempt: RunningAttempt, silence: Silence): void {
    attempt.recordSilence(silence);
    this.push({ kind: 'silent', attempt, silence });
  }

  /** Lets an attempt serve the caller, as it goes on, and cancels the others. */
  choose(attempt: RunningAttempt): void {
    attempt.recordActivity();
    for (const other of this.running.keys()) if (other !== attempt) other.cancel();
  }

  /** The next news; undefined once the request has ended. Throws what an attempt has thrown. */
  async next(): Promise<AttemptNews | undefined> {
    while (!this.stop.aborted) {
      if (this.error) throw this.error;
      const news = this.news.shift();
      if (news && !isOutdated(news)) return news;
      if (!news) await this.changed.wait(this.stop);
    }
    return undefined;
  }

  /** Resolves once all attempts have ended, after `stop` was aborted. */
  async join(): Promise<void> {
    await Promise.all(this.running.values());
  }

  private async follow(attempt: RunningAttempt, running: Promise<AttemptOutcome>): Promise<void> {
    try {
      const outcome = await running;
      attempt.recordEnd(outcome);
      this.delivered ||= outcome.kind === 'delivered';
      if (outcome.kind !== 'cancelled') this.push({ kind: 'ended', attempt, outcome });
    } catch (e) {
      this.error = e as Error;
      this.changed.ring();
    }
    this.running.delete(attempt);
  }

  private push(news: AttemptNews): void {
    this.news.push(news);
    this.changed.ring();
  }
}

/** Whether an attempt has gone on since, or was found silent again. */
function isOutdated(news: AttemptNews): boolean {
  return news.kind === 'silent' && news.attempt.silence !== news.silence;
}

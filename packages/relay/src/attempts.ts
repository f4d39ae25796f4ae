/**
 * The attempts of one request that are in progress. Beside one that is silent another may run; the
 * first to go on serves the caller, and ends the others.
 */

import type { Millis } from '@tanagercart/base';
import type { Target } from './balancer.js';
import type { AttemptOutcome } from './outcome.js';
import type { Silence } from './silence.js';

/** One attempt in progress. */
export class RunningAttempt {
  /** Ends the attempt. */
  readonly stop = new AbortController();
  /** Events received so far. */
  events = 0;
  /** Why it counts as silent; undefined while it does not. */
  silence: Silence | undefined;
  /** Whether its upstream may have run the request for its silence only. */
  mayHaveRun = false;
  /** What shows that its upstream has ended; undefined as long as nothing does. */
  gone: string | undefined;

  private constructor(
    readonly target: Target,
    readonly startedAt: Millis,
  ) {}

  static create(target: Target, startedAt: Millis): RunningAttempt {
    return new RunningAttempt(target, startedAt);
  }

  recordSilence(silence: Silence): void {
    this.silence = silence;
  }

  recordActivity(): void {
    this.silence = undefined;
  }

  recordEvents(count: number): void {
    this.events += count;
  }

  /** Ends the attempt, as its upstream has ended. */
  recordGone(detail: string): void {
    this.gone = detail;
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
  private readonly running = new Map<RunningAttempt, Promise<void>>();
  private readonly news: AttemptNews[] = [];
  private delivered = false;
  private wake: (() => void) | undefined;

  private constructor(private readonly stop: AbortSignal) {
    stop.addEventListener('abort', () => this.cancelAll(), { once: true });
  }

  /** Attempts that end when `stop` is aborted. */
  static create(stop: AbortSignal): Attempts {
    return new Attempts(stop);
  }

  /** Whether no attempt is in progress, and all news was taken. */
  get areOver(): boolean {
    return this.running.size === 0 && this.news.every(isOutdated);
  }

  /** Whether an attempt has delivered, or one in progress is not silent. */
  get hasActive(): boolean {
    return this.delivered || [...this.running.keys()].some((a) => a.silence === undefined);
  }

  /** Starts an attempt; its outcome is news, unless it was cancelled before. */
  start(
    target: Target,
    startedAt: Millis,
    run: (attempt: RunningAttempt) => Promise<AttemptOutcome>,
  ): void {
    const attempt = RunningAttempt.create(target, startedAt);
    const ended = run(attempt).then((outcome) => {
      this.running.delete(attempt);
      this.delivered ||= outcome.kind === 'delivered';
      if (outcome.kind !== 'cancelled') this.push({ kind: 'ended', attempt, outcome });
    });
    this.running.set(attempt, ended);
  }

  /** Records that an attempt is silent. */
  recordSilence(attempt: RunningAttempt, silence: Silence): void {
    attempt.recordSilence(silence);
    this.push({ kind: 'silent', attempt, silence });
  }

  /** Lets an attempt serve the caller, as it goes on, and cancels the others. */
  choose(attempt: RunningAttempt): void {
    attempt.recordActivity();
    for (const other of this.running.keys()) if (other !== attempt) other.stop.abort();
  }

  /** The next news; undefined once the request has ended. */
  async next(): Promise<AttemptNews | undefined> {
    while (!this.stop.aborted) {
      const news = this.news.shift();
      if (news && !isOutdated(news)) return news;
      if (!news) await this.nextPush();
    }
    return undefined;
  }

  /** Cancels the attempts in progress; resolves once all have ended. */
  async end(): Promise<void> {
    this.cancelAll();
    await Promise.all(this.running.values());
  }

  private nextPush(): Promise<void> {
    return new Promise((resolve) => {
      this.wake = resolve;
    });
  }

  private cancelAll(): void {
    for (const attempt of this.running.keys()) attempt.stop.abort();
    this.wake?.();
  }

  private push(news: AttemptNews): void {
    this.news.push(news);
    this.wake?.();
  }
}

/** Whether an attempt has gone on since, or was found silent again. */
function isOutdated(news: AttemptNews): boolean {
  return news.kind === 'silent' && news.attempt.silence !== news.silence;
}

/** A simulated inference engine with continuous batching, on a clock that the bench advances. */

import { Bell } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';

/** The speed of one kind of accelerator: the parts of the duration of a step. */
export interface EngineKind {
  readonly name: string;
  readonly slots: number;
  /** Fixed part of the duration of a step, in milliseconds. */
  readonly baseMs: Millis;
  /** Time that each decoding sequence adds to a step, in milliseconds. */
  readonly sequenceMs: Millis;
  /** Time that each prompt token adds to a step, in milliseconds. */
  readonly promptTokenMs: Millis;
}

/** Limit on the prompt tokens that one step processes (chunked prefill). */
const prefillChunkTokens = 512;

/** Cancels a job when `cancelled` is set. */
export interface Cancellation {
  cancelled: boolean;
}

/** A sequence to run. */
export interface Job {
  readonly promptTokens: number;
  readonly tokens: number;
  /** Prompts of jobs with lower values are processed first. */
  readonly priority: number;
  readonly cancellation: Cancellation;
}

/** The result of a job: when its first token came, when it ended, and the tokens generated. */
export interface JobResult {
  readonly firstTokenAt: Millis | undefined;
  readonly endAt: Millis;
  readonly tokens: number;
}

interface Sequence {
  readonly job: Job;
  unreadTokens: number;
  tokens: number;
  firstTokenAt: Millis | undefined;
  readonly done: (result: JobResult) => void;
}

/**
 * Upper bound on the output tokens per second of an engine: a full batch, with `promptPerToken`
 * prompt tokens to process for each output token.
 */
export function maxTokensPerSecond(kind: EngineKind, promptPerToken: number): number {
  const tokenMs = kind.baseMs / kind.slots + kind.sequenceMs;
  return 1000 / (tokenMs + promptPerToken * kind.promptTokenMs);
}

/** One replica. Its batch has at most `slots` sequences; the rest wait in order of arrival. */
export class FakeEngine {
  private batch: Sequence[] = [];
  private waiting: Sequence[] = [];
  private readonly workAdded = Bell.create();
  private dead = false;
  private tokens = 0;

  private constructor(
    readonly kind: EngineKind,
    private readonly clock: Clock,
  ) {}

  static create(kind: EngineKind, clock: Clock): FakeEngine {
    const engine = new FakeEngine(kind, clock);
    void engine.runSteps();
    return engine;
  }

  /** Number of sequences in the batch and in the queue. */
  get load(): number {
    return this.batch.length + this.waiting.length;
  }

  /** Number of tokens generated so far. */
  get generatedTokens(): number {
    return this.tokens;
  }

  get alive(): boolean {
    return !this.dead;
  }

  /** Runs a job until it ends or is cancelled, or the engine crashes. */
  run(job: Job): Promise<JobResult> {
    return new Promise((done) => {
      const unreadTokens = job.promptTokens;
      const sequence = { job, unreadTokens, tokens: 0, firstTokenAt: undefined, done };
      if (this.dead) {
        done(this.resultOf(sequence));
        return;
      }
      this.waiting.push(sequence);
      this.workAdded.ring();
    });
  }

  /** Ends every job at once, as a crash of the machine does. */
  crash(): void {
    this.dead = true;
    for (const s of [...this.batch, ...this.waiting]) s.done(this.resultOf(s));
    this.batch = [];
    this.waiting = [];
  }

  private async runSteps(): Promise<void> {
    while (!this.dead) {
      this.fillBatch();
      if (this.batch.length === 0) {
        await this.workAdded.wait();
        continue;
      }
      const read = this.prefill();
      const decoding = this.batch.filter((s) => s.unreadTokens === 0).length;
      const { baseMs, sequenceMs, promptTokenMs } = this.kind;
      await this.clock.sleep(baseMs + sequenceMs * decoding + promptTokenMs * read);
      if (!this.dead) this.emitTokens();
    }
  }

  private fillBatch(): void {
    this.waiting = this.waiting.filter((s) => !this.endIfCancelled(s));
    const room = this.kind.slots - this.batch.length;
    if (room > 0) this.batch.push(...this.waiting.splice(0, room));
  }

  private prefill(): number {
    let left = prefillChunkTokens;
    const unread = this.batch.filter((s) => s.unreadTokens > 0);
    for (const s of unread.sort((a, b) => a.job.priority - b.job.priority)) {
      const read = Math.min(left, s.unreadTokens);
      s.unreadTokens -= read;
      left -= read;
    }
    return prefillChunkTokens - left;
  }

  private emitTokens(): void {
    const now = this.clock.now();
    this.batch = this.batch.filter((s) => {
      if (this.endIfCancelled(s)) return false;
      if (s.unreadTokens > 0) return true;
      s.tokens += 1;
      this.tokens += 1;
      s.firstTokenAt ??= now;
      if (s.tokens < s.job.tokens) return true;
      s.done(this.resultOf(s));
      return false;
    });
  }

  private endIfCancelled(s: Sequence): boolean {
    if (!s.job.cancellation.cancelled) return false;
    s.done(this.resultOf(s));
    return true;
  }

  private resultOf(s: Sequence): JobResult {
    return { firstTokenAt: s.firstTokenAt, endAt: this.clock.now(), tokens: s.tokens };
  }
}

/** Passes the events of one or more runs on as one stream, each once and in order. */

import type { Clock, Millis } from '@tanagercart/base';
import type { Call, Caller } from './call.js';
import { EventSplitter } from './events.js';
import type { UpstreamAnswer } from './upstream.js';

/** How one run ended. */
export type StreamEnd =
  | { readonly kind: 'complete' }
  | { readonly kind: 'broken' }
  /** A stage of the path is not reached. */
  | { readonly kind: 'blocked'; readonly address: string };

/** What a run needs beside its answer. */
export interface RunOptions {
  readonly onFirstEvent: () => void;
  /** Asks for which stage the request waits. */
  readonly blockedAt: () => Promise<string | undefined>;
  /** Ends the run. */
  readonly stop: AbortController;
}

/** A pause of this many promised pauses is looked into, and again after each further one. */
const pauseFactor = 1.5;
const defaultPauseMs: Millis = 300;

/** A run that pauses this long is given up. */
const mostPauseMs: Millis = 1900;

/** The caller's stream over all runs. */
export class StreamDelivery {
  /** Whether the head was sent to the caller. */
  started = false;
  /** The last event that the caller has. */
  lastEvent: number | undefined;

  private constructor(
    private readonly call: Call,
    private readonly caller: Caller,
    private readonly clock: Clock,
  ) {
    this.lastEvent = call.lastEvent;
  }

  static create(call: Call, caller: Caller, clock: Clock): StreamDelivery {
    return new StreamDelivery(call, caller, clock);
  }

  /** Passes on one run until it ends. */
  async take(answer: UpstreamAnswer, run: RunOptions): Promise<StreamEnd> {
    const splitter = EventSplitter.create();
    const watch = this.watchPauses(run);
    try {
      for await (const chunk of answer.body) {
        const events = splitter.push(chunk).filter((e) => this.isNext(e.id));
        if (events.length === 0) continue;
        if (!this.started) this.begin(answer, run);
        watch.heard();
        this.lastEvent = events.at(-1)!.id ?? this.lastEvent;
        await this.caller.write(Buffer.concat(events.map((e) => e.bytes)));
      }
    } catch {
      watch.end();
      return watch.blocked ?? { kind: 'broken' };
    }
    watch.end();
    if (splitter.isPartial || !this.started) return { kind: 'broken' };
    this.caller.end();
    return { kind: 'complete' };
  }

  private begin(answer: UpstreamAnswer, run: RunOptions): void {
    this.started = true;
    run.onFirstEvent();
    this.caller.start(answer.head);
  }

  /** Events that the caller has already are left out. */
  private isNext(id: number | undefined): boolean {
    return id === undefined || this.lastEvent === undefined || id > this.lastEvent;
  }

  /** Looks into pauses: a stage that is not reached ends the run before it would end by itself. */
  private watchPauses(run: RunOptions): PauseWatch {
    const pauseMs = (this.call.route.pauseMs ?? defaultPauseMs) * pauseFactor;
    return PauseWatch.create(this.clock, pauseMs, run, () => this.started);
  }
}

/** Watches one run for pauses. */
class PauseWatch {
  blocked: Extract<StreamEnd, { kind: 'blocked' }> | undefined;
  private heardAt: Millis;
  private timer: NodeJS.Timeout | undefined;
  private ended = false;

  private constructor(
    private readonly clock: Clock,
    private readonly pauseMs: Millis,
    private readonly run: RunOptions,
    private readonly isStarted: () => boolean,
  ) {
    this.heardAt = clock.now();
    this.arm();
  }

  static create(
    clock: Clock,
    pauseMs: Millis,
    run: RunOptions,
    isStarted: () => boolean,
  ): PauseWatch {
    return new PauseWatch(clock, pauseMs, run, isStarted);
  }

  heard(): void {
    this.heardAt = this.clock.now();
  }

  end(): void {
    this.ended = true;
    clearTimeout(this.timer);
  }

  private arm(): void {
    if (this.ended) return;
    const quietMs = this.clock.now() - this.heardAt;
    const waitMs = quietMs < this.pauseMs ? this.pauseMs - quietMs : this.pauseMs;
    this.timer = setTimeout(() => {
      void this.look();
    }, waitMs);
  }

  private async look(): Promise<void> {
    const quietMs = this.clock.now() - this.heardAt;
    if (quietMs >= this.pauseMs) {
      const address = await this.run.blockedAt();
      if (this.ended) return;
      if (address !== undefined) this.blocked = { kind: 'blocked', address };
      const tooLong = this.isStarted() && this.clock.now() - this.heardAt >= mostPauseMs;
      if (address !== undefined || tooLong) {
        this.run.stop.abort();
        return;
      }
    }
    this.arm();
  }
}

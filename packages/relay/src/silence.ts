/**
 * Watches an attempt for silence. Answers upstreams that neither answer nor close: a stage that is
 * not reached is found by asking the first one, long before the attempt would end by itself.
 */

import type { Clock, Millis } from '@tanagercart/base';

/** Longest wait before the silence is judged again. */
const longestWaitMs: Millis = 60_000;

/** What a look into a silent attempt shows. */
export type ProbeResult =
  /** The upstream is at work. */
  | { readonly kind: 'waiting' }
  /** It waits for a stage that is not reached. */
  | { readonly kind: 'blocked'; readonly address: string }
  /** It does not answer itself. */
  | { readonly kind: 'unreachable' };

/** Why an attempt was ended for its silence. */
export type StallCause = Exclude<ProbeResult, { kind: 'waiting' }> | { readonly kind: 'silent' };

/** How long an attempt may be silent. */
export interface StallTimeouts {
  /** Before its first event, and between events. */
  readonly firstEventMs: Millis;
  readonly gapMs: Millis;
  /** Silence after which it is looked into; undefined where it never is. */
  readonly probeAfterMs: Millis | undefined;
}

export interface StallOptions {
  readonly clock: Clock;
  readonly timeouts: StallTimeouts;
  readonly probe: () => Promise<ProbeResult>;
  /** Ends the attempt. */
  readonly stop: AbortController;
}

/** Watches one attempt. */
export class StallDetector {
  /** Set once the watch has ended the attempt. */
  cause: StallCause | undefined;
  private heardAt: Millis;
  private started = false;
  private readonly ending = new AbortController();

  private constructor(private readonly o: StallOptions) {
    this.heardAt = o.clock.now();
  }

  /** Starts to watch. */
  static create(options: StallOptions): StallDetector {
    const watch = new StallDetector(options);
    void watch.run();
    return watch;
  }

  /** Something of the answer came. */
  recordActivity(): void {
    this.started = true;
    this.heardAt = this.o.clock.now();
  }

  end(): void {
    this.ending.abort();
  }

  private get limitMs(): Millis {
    return this.started ? this.o.timeouts.gapMs : this.o.timeouts.firstEventMs;
  }

  private get ended(): boolean {
    return this.ending.signal.aborted;
  }

  /** Task: judges the silence whenever it may have lasted too long. */
  private async run(): Promise<void> {
    const { clock, timeouts: patience } = this.o;
    while (!this.ended) {
      const quietMs = clock.now() - this.heardAt;
      const lookMs = patience.probeAfterMs ?? Infinity;
      const untilLook = quietMs < lookMs ? lookMs - quietMs : lookMs;
      const waitMs = Math.max(1, Math.min(untilLook, this.limitMs - quietMs, longestWaitMs));
      await clock.sleep(waitMs, this.ending.signal);
      if (!this.ended) await this.judge();
    }
  }

  private async judge(): Promise<void> {
    const { clock, timeouts: patience, probe: look } = this.o;
    const { heardAt } = this;
    const quiet = () => clock.now() - this.heardAt;
    if (
      patience.probeAfterMs !== undefined &&
      quiet() >= patience.probeAfterMs &&
      quiet() < this.limitMs
    ) {
      const found = await look();
      if (this.ended) return;
      if (found.kind !== 'waiting' && this.heardAt === heardAt) this.stop(found);
    }
    if (quiet() >= this.limitMs) this.stop({ kind: 'silent' });
  }

  private stop(verdict: StallCause): void {
    if (this.ended) return;
    this.cause = verdict;
    this.end();
    this.o.stop.abort();
  }
}

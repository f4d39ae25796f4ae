/**
 * Watches an attempt for silence. A sound upstream may be silent for a second or so and go on, and
 * a probe may be late like everything else: silence is a reason to turn to another upstream as well,
 * and none to end the attempt.
 */

import type { Clock, Millis } from '@tanagercart/base';

/** Longest wait between two checks; bounds the timer where no timeout applies. */
const longestWaitMs: Millis = 60_000;

/** What is known of an attempt without a response. */
export type ProbeResult =
  /** The upstream is at work. */
  | { readonly kind: 'waiting' }
  /** It waits for a stage that it cannot reach, by a report that may be out of date. */
  | { readonly kind: 'blocked'; readonly address: string }
  /** It is up, but the connection of the attempt is over a link that is broken. */
  | { readonly kind: 'cut-off' }
  /** No answer came, for whatever reason: the upstream may be at work. */
  | { readonly kind: 'silent'; readonly detail: string }
  /** It has ended: nothing listens at its address, or another instance does. */
  | { readonly kind: 'gone'; readonly detail: string };

/** Why an attempt counts as silent; `overdue` if its upstream is at work all the same. */
export type Silence =
  Extract<ProbeResult, { kind: 'blocked' | 'cut-off' | 'silent' }> | { readonly kind: 'overdue' };

/** How long an attempt may be silent until it is looked into. */
export interface SilenceTimeouts {
  /** Before its first event, and between events. */
  readonly firstEventMs: Millis;
  readonly gapMs: Millis;
  /** Silence after which the upstream is probed; undefined disables probes. */
  readonly probeMs: Millis | undefined;
}

export interface SilenceWatchOptions {
  readonly clock: Clock;
  readonly timeouts: SilenceTimeouts;
  readonly probe: () => Promise<ProbeResult>;
  /** Whether the caller is slow to read, for which nothing is read from the upstream either. */
  readonly isHeldByCaller: () => boolean;
  /** Called for as long as the attempt is silent, with each probe or once its limit has passed. */
  readonly onSilent: (silence: Silence) => void;
  /** Called once the upstream is known to have ended. */
  readonly onGone: (detail: string) => void;
}

/** Watches one attempt. */
export class SilenceWatch {
  /** Time at which a part of the response last arrived. */
  private activeAt: Millis;
  private started = false;
  private readonly ending = new AbortController();

  private constructor(private readonly o: SilenceWatchOptions) {
    this.activeAt = o.clock.now();
  }

  /** Starts to watch; `end` stops it. */
  static create(options: SilenceWatchOptions): SilenceWatch {
    const watch = new SilenceWatch(options);
    void watch.run();
    return watch;
  }

  /** Time since a part of the response last arrived. */
  get quietMs(): Millis {
    return this.o.clock.now() - this.activeAt;
  }

  /** Records that a part of the response arrived. */
  recordActivity(): void {
    this.started = true;
    this.activeAt = this.o.clock.now();
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

  /** Checks the attempt whenever a probe or its limit is due. */
  private async run(): Promise<void> {
    const { clock, timeouts } = this.o;
    const probeMs = timeouts.probeMs ?? Infinity;
    while (!this.ended) {
      const { quietMs } = this;
      const untilProbeMs = quietMs < probeMs ? probeMs - quietMs : probeMs;
      const untilLimitMs = quietMs < this.limitMs ? this.limitMs - quietMs : Infinity;
      const waitMs = Math.max(1, Math.min(untilProbeMs, untilLimitMs, longestWaitMs));
      await clock.sleep(waitMs, this.ending.signal);
      if (this.o.isHeldByCaller()) this.activeAt = clock.now();
      else if (!this.ended) await this.check();
    }
  }

  private async check(): Promise<void> {
    const { timeouts, probe, onSilent, onGone } = this.o;
    const { activeAt } = this;
    if (this.quietMs >= (timeouts.probeMs ?? Infinity)) {
      const result = await probe();
      if (this.ended || this.activeAt !== activeAt) return;
      if (result.kind === 'gone') onGone(result.detail);
      else if (result.kind !== 'waiting') onSilent(result);
      if (result.kind !== 'waiting') return;
    }
    if (this.quietMs >= this.limitMs) onSilent({ kind: 'overdue' });
  }
}

/**
 * Detects stalled attempts. Protects against upstreams that neither respond nor close: a probe of
 * the first stage finds a stage out of reach long before the attempt would time out.
 */

import type { Clock, Millis } from '@tanagercart/base';

/** Longest wait between two checks; bounds the timer where no timeout applies. */
const longestWaitMs: Millis = 60_000;

/** What an upstream reports of an attempt without a response. */
export type ProbeResult =
  /** The upstream is at work. */
  | { readonly kind: 'waiting' }
  /** It waits for a stage that it cannot reach. */
  | { readonly kind: 'blocked'; readonly address: string }
  /** It is up, but the connection of the attempt is over a link that is broken. */
  | { readonly kind: 'cut-off' }
  /** The upstream does not respond to the probe. */
  | { readonly kind: 'unreachable' };

/** Why an attempt was ended for its silence. */
export type StallCause = Exclude<ProbeResult, { kind: 'waiting' }> | { readonly kind: 'silent' };

/** How long an attempt may be silent. */
export interface StallTimeouts {
  /** Before its first event, and between events. */
  readonly firstEventMs: Millis;
  readonly gapMs: Millis;
  /** Silence after which the upstream is probed; undefined disables probes. */
  readonly probeMs: Millis | undefined;
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
  /** Set once the detector has ended the attempt. */
  cause: StallCause | undefined;
  /** Time at which a part of the response last arrived. */
  private activeAt: Millis;
  private started = false;
  private readonly ending = new AbortController();

  private constructor(private readonly o: StallOptions) {
    this.activeAt = o.clock.now();
  }

  /** Starts to watch; `end` stops it. */
  static create(options: StallOptions): StallDetector {
    const detector = new StallDetector(options);
    void detector.run();
    return detector;
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

  /** Checks the attempt whenever a probe or a limit is due. */
  private async run(): Promise<void> {
    const { clock, timeouts } = this.o;
    while (!this.ended) {
      const quietMs = clock.now() - this.activeAt;
      const probeMs = timeouts.probeMs ?? Infinity;
      const untilProbeMs = quietMs < probeMs ? probeMs - quietMs : probeMs;
      const waitMs = Math.max(1, Math.min(untilProbeMs, this.limitMs - quietMs, longestWaitMs));
      await clock.sleep(waitMs, this.ending.signal);
      if (!this.ended) await this.check();
    }
  }

  private async check(): Promise<void> {
    const { clock, timeouts, probe } = this.o;
    const { activeAt } = this;
    const quiet = () => clock.now() - this.activeAt;
    if (timeouts.probeMs !== undefined && quiet() >= timeouts.probeMs && quiet() < this.limitMs) {
      const result = await probe();
      if (this.ended) return;
      if (result.kind !== 'waiting' && this.activeAt === activeAt) this.stop(result);
    }
    if (quiet() >= this.limitMs) this.stop({ kind: 'silent' });
  }

  private stop(cause: StallCause): void {
    if (this.ended) return;
    this.cause = cause;
    this.end();
    this.o.stop.abort();
  }
}

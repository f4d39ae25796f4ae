/** Reads the events of one attempt, and ends it if it stalls, is preempted or loses its caller. */

import type { Clock, Metrics, Millis } from '@tanagercart/base';
import type { EngineClient, RunEvent, RunFailure, RunOrder } from '@tanagercart/upstream';
import { StallTimer } from './stalltimer.js';

/** Events of an attempt: those of the engine, or how the attempt was interrupted. */
export type WatchedEvent = RunEvent | { readonly kind: 'preempted' } | { readonly kind: 'aborted' };

/** Returns the timeout for the next event, in milliseconds. */
export type EventTimeout = () => Millis;

/** How a stream broke. */
export type BrokenRun = Extract<RunFailure, { readonly kind: 'broken' }>;

/** Result of waiting for the next event. */
type WaitResult = IteratorResult<RunEvent> | 'late' | 'interrupted';

/** Time for which the stream of a cancelled attempt is read for a crash, in milliseconds. */
const cancelTimeoutMs: Millis = 2000;

/** One attempt in progress. */
export class WatchedRun {
  /** Closes the stream of the engines. */
  private readonly stopped = new AbortController();
  /** Aborted when the owner preempts the grant. */
  private readonly preempted = new AbortController();
  /** Ends the current wait for the next event. */
  private resolveWait: ((next: WaitResult) => void) | undefined;
  /** Resolves when a cancelled attempt has ended: to the failure if its stream broke. */
  brokenAfterCancel: Promise<BrokenRun | undefined> = Promise.resolve(undefined);

  private constructor(
    private readonly engines: EngineClient,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    readonly order: RunOrder,
  ) {}

  static create(
    engines: EngineClient,
    clock: Clock,
    metrics: Metrics,
    order: RunOrder,
  ): WatchedRun {
    return new WatchedRun(engines, clock, metrics, order);
  }

  /** Ends the stream of this attempt at once, as the owner preempted its grant. */
  preempt(): void {
    this.preempted.abort();
  }

  /**
   * Yields events until the attempt ends. Frames that arrive later are dropped and counted.
   * `timeout` is evaluated for each event; `caller` is aborted when the caller disconnects.
   */
  async *events(timeout: EventTimeout, caller: AbortSignal): AsyncGenerator<WatchedEvent> {
    const run = this.engines.run(this.order, this.stopped.signal)[Symbol.asyncIterator]();
    const interrupts = [caller, this.preempted.signal];
    const interrupt = () => this.resolveWait?.('interrupted');
    for (const s of interrupts) s.addEventListener('abort', interrupt);
    const stallTimer = StallTimer.create(this.clock, () => this.resolveWait?.('late'));
    let pending: Promise<IteratorResult<RunEvent>> | undefined;
    let hasEnded = false;
    try {
      for (;;) {
        pending = run.next();
        stallTimer.arm(timeout());
        const next = await this.waitForNext(pending, interrupts);
        stallTimer.disarm();
        if (next === 'interrupted') {
          yield caller.aborted ? { kind: 'aborted' } : { kind: 'preempted' };
          return;
        }
        if (next === 'late') {
          yield failed({ kind: 'stalled', detail: 'no frame within the timeout' });
          return;
        }
        pending = undefined;
        hasEnded = next.done === true || next.value.kind !== 'tokens';
        yield next.done
          ? failed({ kind: 'broken', detail: 'the stream ended early', suspect: undefined })
          : next.value;
        if (hasEnded) return;
      }
    } finally {
      stallTimer.stop();
      for (const s of interrupts) s.removeEventListener('abort', interrupt);
      if (hasEnded) this.stopped.abort();
      else this.brokenAfterCancel = this.cancelAndDrain(run, pending);
    }
  }

  /** Cancels the attempt at its engines. Resolves to the failure if its stream breaks even so. */
  private async cancelAndDrain(
    run: AsyncIterator<RunEvent>,
    pending: Promise<IteratorResult<RunEvent>> | undefined,
  ): Promise<BrokenRun | undefined> {
    void this.engines.cancel(this.order);
    const drained = this.drain(run, pending ?? run.next());
    const timer = new AbortController();
    const timedOut = this.clock.sleep(cancelTimeoutMs, timer.signal).then(() => undefined);
    const broken = await Promise.race([drained, timedOut]);
    timer.abort();
    this.stopped.abort();
    return broken;
  }

  /** Drops and counts the frames that a cancelled attempt still sends. */
  private async drain(
    run: AsyncIterator<RunEvent>,
    pending: Promise<IteratorResult<RunEvent>>,
  ): Promise<BrokenRun | undefined> {
    for (let next = await pending; !next.done; next = await run.next()) {
      const { value } = next;
      if (value.kind === 'tokens') this.countDropped(value.frames.length);
      if (value.kind === 'failed' && value.failure.kind === 'broken') return value.failure;
    }
    return undefined;
  }

  private countDropped(frames: number): void {
    for (let i = 0; i < frames; i += 1) {
      this.metrics.count('frame.dropped', { reason: 'old-attempt' });
    }
  }

  /** Waits for the next event, a stall or an interruption, whichever comes first. */
  private waitForNext(
    pending: Promise<IteratorResult<RunEvent>>,
    interrupts: readonly AbortSignal[],
  ): Promise<WaitResult> {
    if (interrupts.some((s) => s.aborted)) return Promise.resolve('interrupted');
    return new Promise((resolve, reject) => {
      this.resolveWait = resolve;
      pending.then(resolve, reject);
    });
  }
}

function failed(failure: RunFailure): RunEvent {
  return { kind: 'failed', failure };
}

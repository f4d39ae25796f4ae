/** Reads the events of one attempt, and ends it when it is silent for too long or taken back. */

import type { Clock, Metrics, Millis } from '@tanagercart/base';
import type { Engines, RunEvent, RunFailure, RunOrder } from '@tanagercart/upstream';
import { StallTimer } from './stalltimer.js';

/** What an attempt yields besides the engine's own events. */
export type WatchedEvent = RunEvent | { readonly kind: 'preempted' } | { readonly kind: 'aborted' };

/** How long the next event may take. */
export type EventTimeout = () => Millis;

/** How a stream broke. */
export type BrokenRun = Extract<RunFailure, { readonly kind: 'broken' }>;

/** What became of the wait for the next event. */
type WaitResult = IteratorResult<RunEvent> | 'late' | 'interrupted';

/** How long an attempt may take to end once it is cancelled, in milliseconds. */
const cancelTimeoutMs: Millis = 2000;

/** One attempt in progress. */
export class WatchedRun {
  private readonly stopped = new AbortController();
  private readonly preempted = new AbortController();
  /** Ends the wait for the next event. */
  private resolveWait: ((next: WaitResult) => void) | undefined;
  /** Settles when a cancelled attempt has ended: with how it broke, if it did. */
  brokenAfterCancel: Promise<BrokenRun | undefined> = Promise.resolve(undefined);

  private constructor(
    private readonly engines: Engines,
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    readonly order: RunOrder,
  ) {}

  static create(engines: Engines, clock: Clock, metrics: Metrics, order: RunOrder): WatchedRun {
    return new WatchedRun(engines, clock, metrics, order);
  }

  /** Takes the grant of this attempt back; its stream ends at once. */
  preempt(): void {
    this.preempted.abort();
  }

  /** Yields events until the attempt ends; what comes later is dropped and counted. */
  async *events(timeout: EventTimeout, caller: AbortSignal): AsyncGenerator<WatchedEvent> {
    const run = this.engines.run(this.order, this.stopped.signal)[Symbol.asyncIterator]();
    const interrupts = [caller, this.preempted.signal];
    const interrupt = () => this.resolveWait?.('interrupted');
    for (const s of interrupts) s.addEventListener('abort', interrupt);
    const stallTimer = StallTimer.create(this.clock, () => this.resolveWait?.('late'));
    let pending: Promise<IteratorResult<RunEvent>> | undefined;
    let over = false;
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
          yield failed({ kind: 'stalled', detail: 'no frame in time' });
          return;
        }
        pending = undefined;
        over = next.done === true || next.value.kind !== 'tokens';
        yield next.done
          ? failed({ kind: 'broken', detail: 'the stream ended early', suspect: undefined })
          : next.value;
        if (over) return;
      }
    } finally {
      stallTimer.stop();
      for (const s of interrupts) s.removeEventListener('abort', interrupt);
      if (over) this.stopped.abort();
      else this.brokenAfterCancel = this.cancelAndDrain(run, pending);
    }
  }

  /** Cancels the attempt at its engines, and yields how it broke where they crash all the same. */
  private async cancelAndDrain(
    run: AsyncIterator<RunEvent>,
    pending: Promise<IteratorResult<RunEvent>> | undefined,
  ): Promise<BrokenRun | undefined> {
    void this.engines.cancel(this.order);
    const drained = this.drain(run, pending ?? run.next());
    const patience = new AbortController();
    const late = this.clock.sleep(cancelTimeoutMs, patience.signal).then(() => undefined);
    const broken = await Promise.race([drained, late]);
    patience.abort();
    this.stopped.abort();
    return broken;
  }

  /** Drops and counts what an ended attempt still sends. */
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

  /** The next event, unless silence or an interruption comes first. */
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

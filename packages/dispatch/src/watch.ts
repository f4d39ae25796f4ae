/** Reads the events of one attempt, and ends it when it is silent for too long or taken back. */

import type { Clock, Metrics, Millis } from '@tanagercart/base';
import type { Engines, RunEvent, RunFailure, RunOrder } from '@tanagercart/upstream';
import { Silence } from './silence.js';

/** What an attempt yields besides the engine's own events. */
export type WatchedEvent = RunEvent | { readonly kind: 'preempted' } | { readonly kind: 'aborted' };

/** How long the next event may take. */
export type Bound = () => Millis;

/** How a stream broke. */
export type BrokenRun = Extract<RunFailure, { readonly kind: 'broken' }>;

/** What became of the wait for the next event. */
type Next = IteratorResult<RunEvent> | 'late' | 'interrupted';

/** How long an attempt may take to end once it is cancelled, in milliseconds. */
const windUpMs: Millis = 2000;

/** One attempt in progress. */
export class WatchedRun {
  private readonly stop = new AbortController();
  private readonly taken = new AbortController();
  /** Ends the wait for the next event. */
  private settle: ((next: Next) => void) | undefined;
  /** Settles when a cancelled attempt has ended: with how it broke, if it did. */
  aftermath: Promise<BrokenRun | undefined> = Promise.resolve(undefined);

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
    this.taken.abort();
  }

  /** Yields events until the attempt ends; what comes later is dropped and counted. */
  async *events(bound: Bound, caller: AbortSignal): AsyncGenerator<WatchedEvent> {
    const run = this.engines.run(this.order, this.stop.signal)[Symbol.asyncIterator]();
    const interrupts = [caller, this.taken.signal];
    const interrupt = () => this.settle?.('interrupted');
    for (const s of interrupts) s.addEventListener('abort', interrupt);
    const silence = Silence.create(this.clock, () => this.settle?.('late'));
    let pending: Promise<IteratorResult<RunEvent>> | undefined;
    let over = false;
    try {
      for (;;) {
        pending = run.next();
        silence.expect(bound());
        const next = await this.nextOf(pending, interrupts);
        silence.heard();
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
      silence.stop();
      for (const s of interrupts) s.removeEventListener('abort', interrupt);
      if (over) this.stop.abort();
      else this.aftermath = this.windUp(run, pending);
    }
  }

  /** Cancels the attempt at its engines, and yields how it broke where they crash all the same. */
  private async windUp(
    run: AsyncIterator<RunEvent>,
    pending: Promise<IteratorResult<RunEvent>> | undefined,
  ): Promise<BrokenRun | undefined> {
    void this.engines.cancel(this.order);
    const drained = this.drain(run, pending ?? run.next());
    const patience = new AbortController();
    const late = this.clock.sleep(windUpMs, patience.signal).then(() => undefined);
    const broken = await Promise.race([drained, late]);
    patience.abort();
    this.stop.abort();
    return broken;
  }

  /** Drops and counts what an ended attempt still sends. */
  private async drain(
    run: AsyncIterator<RunEvent>,
    pending: Promise<IteratorResult<RunEvent>>,
  ): Promise<BrokenRun | undefined> {
    for (let next = await pending; !next.done; next = await run.next()) {
      const { value } = next;
      if (value.kind === 'tokens') this.dropped(value.frames.length);
      if (value.kind === 'failed' && value.failure.kind === 'broken') return value.failure;
    }
    return undefined;
  }

  private dropped(frames: number): void {
    for (let i = 0; i < frames; i += 1) {
      this.metrics.count('frame.dropped', { reason: 'old-attempt' });
    }
  }

  /** The next event, unless silence or an interruption comes first. */
  private nextOf(
    pending: Promise<IteratorResult<RunEvent>>,
    interrupts: readonly AbortSignal[],
  ): Promise<Next> {
    if (interrupts.some((s) => s.aborted)) return Promise.resolve('interrupted');
    return new Promise((resolve, reject) => {
      this.settle = resolve;
      pending.then(resolve, reject);
    });
  }
}

function failed(failure: RunFailure): RunEvent {
  return { kind: 'failed', failure };
}

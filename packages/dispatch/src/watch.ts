/** Reads the events of one attempt, and ends it when it is silent for too long or taken back. */

import type { Clock, Metrics, Millis } from '@tanagercart/base';
import type { Engines, RunEvent, RunFailure, RunOrder } from '@tanagercart/upstream';

/** What an attempt yields besides the engine's own events. */
export type WatchedEvent = RunEvent | { readonly kind: 'preempted' } | { readonly kind: 'aborted' };

/** How long the next event may take. */
export type Bound = () => Millis;

/** One attempt in progress. */
export class WatchedRun {
  private readonly stop = new AbortController();
  private readonly taken = new AbortController();

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
    const interrupt = AbortSignal.any([caller, this.taken.signal]);
    let pending: Promise<IteratorResult<RunEvent>> | undefined;
    try {
      for (;;) {
        pending = run.next();
        const next = await this.nextOf(pending, bound(), interrupt);
        if (next === 'interrupted') {
          yield caller.aborted ? { kind: 'aborted' } : { kind: 'preempted' };
          return;
        }
        if (next === 'late') {
          yield failed({ kind: 'stalled', detail: 'no frame in time' });
          return;
        }
        pending = undefined;
        if (next.done) {
          yield failed({ kind: 'broken', detail: 'the stream ended early', suspect: undefined });
          return;
        }
        yield next.value;
        if (next.value.kind !== 'token') return;
      }
    } finally {
      this.stop.abort();
      void this.discard(run, pending);
    }
  }

  private async nextOf(
    pending: Promise<IteratorResult<RunEvent>>,
    boundMs: Millis,
    interrupt: AbortSignal,
  ): Promise<IteratorResult<RunEvent> | 'late' | 'interrupted'> {
    const awake = new AbortController();
    const signal = AbortSignal.any([interrupt, awake.signal]);
    const late = this.clock
      .sleep(boundMs, signal)
      .then(() => (interrupt.aborted ? 'interrupted' : 'late'));
    const next = await Promise.race([pending, late]);
    awake.abort();
    return next;
  }

  /** Drops and counts what an ended attempt still sends. */
  private async discard(
    run: AsyncIterator<RunEvent>,
    pending: Promise<IteratorResult<RunEvent>> | undefined,
  ): Promise<void> {
    let next = await (pending ?? run.next());
    while (!next.done) {
      if (next.value.kind === 'token') {
        this.metrics.count('frame.dropped', { reason: 'old-attempt' });
      }
      next = await run.next();
    }
  }
}

function failed(failure: RunFailure): RunEvent {
  return { kind: 'failed', failure };
}

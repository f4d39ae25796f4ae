/** Small tools for tasks that wait on one another. */

import { setMaxListeners } from 'node:events';
import type { Clock, Millis } from './clock.js';

/** Wakes every waiter at once; can be used again after each wake. */
export class Bell {
  private waiters = new Set<() => void>();

  static create(): Bell {
    return new Bell();
  }

  /** Wakes all current waiters. */
  ring(): void {
    const woken = this.waiters;
    this.waiters = new Set();
    for (const wake of woken) wake();
  }

  /** Resolves at the next ring, after `ms` milliseconds, or when `signal` aborts; never rejects. */
  async waitUpTo(ms: Millis, clock: Clock, signal?: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const abort = () => stop.abort();
    signal?.addEventListener('abort', abort, { once: true });
    if (signal?.aborted) {
      stop.abort();
    }
    await Promise.race([this.wait(stop.signal), clock.sleep(ms, stop.signal)]);
    signal?.removeEventListener('abort', abort);
    stop.abort();
  }

  /** Resolves at the next ring, or when `signal` aborts; never rejects. */
  wait(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const wake = () => {
        signal?.removeEventListener('abort', abort);
        resolve();
      };
      const abort = () => {
        this.waiters.delete(wake);
        resolve();
      };
      this.waiters.add(wake);
      signal?.addEventListener('abort', abort);
    });
  }
}

/** A set of background tasks that are awaited together at shutdown. */
export class TaskGroup {
  private readonly running = new Set<Promise<void>>();

  private constructor(private readonly onBroken: (error: unknown) => void) {}

  /** `onBroken` receives what a task throws: a broken invariant or a bug. */
  static create(onBroken: (error: unknown) => void): TaskGroup {
    return new TaskGroup(onBroken);
  }

  /** Starts `task` in the background. */
  start(task: () => Promise<void>): void {
    const run = task()
      .catch(this.onBroken)
      .finally(() => this.running.delete(run));
    this.running.add(run);
  }

  /** Resolves once every task has ended. */
  async join(): Promise<void> {
    while (this.running.size > 0) await Promise.all(this.running);
  }
}

/** The end of a part of the program, on which any number of its tasks may wait. */
export function createStopController(): AbortController {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  return stop;
}

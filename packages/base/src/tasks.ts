/** Primitives for background tasks: wake-up signals, task groups and stop signals. */

import { setMaxListeners } from 'node:events';
import type { Clock, Millis } from './clock.js';

/** Abort reason of an internal wait. Without one, each abort would create an error with a stack. */
export const waitEnded = 'the wait has ended';

/** A wake-up signal. Each ring wakes all current waiters, after which new ones can wait again. */
export class Bell {
  private waiters = new Set<() => void>();

  static create(): Bell {
    return new Bell();
  }

  /** Wakes all current waiters. A ring without waiters is not remembered. */
  ring(): void {
    const woken = this.waiters;
    this.waiters = new Set();
    for (const wake of woken) wake();
  }

  /** Resolves at the next ring, after `ms` milliseconds, or when `signal` aborts; never rejects. */
  async waitUpTo(ms: Millis, clock: Clock, signal?: AbortSignal): Promise<void> {
    const stop = new AbortController();
    const abort = () => stop.abort(waitEnded);
    signal?.addEventListener('abort', abort, { once: true });
    if (signal?.aborted) {
      stop.abort(waitEnded);
    }
    await Promise.race([this.wait(stop.signal), clock.sleep(ms, stop.signal)]);
    signal?.removeEventListener('abort', abort);
    stop.abort(waitEnded);
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

  /** `onBroken` receives what a task throws, which is a broken invariant or a bug. */
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

  /** Resolves once no task is running, including tasks that are started meanwhile. */
  async join(): Promise<void> {
    while (this.running.size > 0) await Promise.all(this.running);
  }
}

/**
 * Creates the controller that stops a component. Any number of tasks may listen to its signal:
 * Node.js would otherwise warn of a leak above 10 listeners.
 */
export function createStopController(): AbortController {
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  return stop;
}

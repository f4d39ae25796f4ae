/** Time as the program sees it, so that a test can hold it. */

import { Heap } from './heap.js';

/** Milliseconds since an arbitrary fixed point; never goes back. */
export type Millis = number;

/** A source of time and delays. */
export interface Clock {
  /** Monotonic time in milliseconds. */
  now(): Millis;
  /** Wall time in milliseconds since 1970, for logs and records only. */
  wall(): Millis;
  /** Resolves after `ms` milliseconds, or at once when `signal` aborts; never rejects. */
  sleep(ms: Millis, signal?: AbortSignal): Promise<void>;
}

/** The clock of the machine. */
export class SystemClock implements Clock {
  static create(): SystemClock {
    return new SystemClock();
  }

  // eslint-disable-next-line class-methods-use-this
  now(): Millis {
    return performance.now();
  }

  // eslint-disable-next-line class-methods-use-this
  wall(): Millis {
    return Date.now();
  }

  // eslint-disable-next-line class-methods-use-this
  sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const done = () => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const timer = setTimeout(done, ms);
      signal?.addEventListener('abort', done);
    });
  }
}

interface Sleeper {
  readonly at: Millis;
  readonly seq: number;
  readonly wake: () => void;
  cancelled: boolean;
}

/** A clock that stands still until it is advanced; due sleepers wake in order of time. */
export class HeldClock implements Clock {
  private time = 0;
  private seq = 0;
  private readonly sleepers = Heap.create<Sleeper>(earlier);

  static create(): HeldClock {
    return new HeldClock();
  }

  now(): Millis {
    return this.time;
  }

  wall(): Millis {
    return this.time;
  }

  sleep(ms: Millis, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const cancel = () => {
        sleeper.cancelled = true;
        resolve();
      };
      const wake = () => {
        signal?.removeEventListener('abort', cancel);
        resolve();
      };
      this.seq += 1;
      const at = this.time + Math.max(0, ms);
      const sleeper: Sleeper = { at, seq: this.seq, wake, cancelled: false };
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', cancel, { once: true });
    });
  }

  /** Moves time forward by `ms`, letting all work that falls due on the way run to rest. */
  async advance(ms: Millis): Promise<void> {
    const end = this.time + ms;
    await flushMicrotasks();
    for (;;) {
      const next = this.sleepers.peek();
      if (!next || next.at > end) {
        break;
      }
      this.sleepers.pop();
      if (next.cancelled) {
        continue;
      }
      this.time = Math.max(this.time, next.at);
      next.wake();
      await flushMicrotasks();
    }
    this.time = end;
  }
}

function earlier(a: Sleeper, b: Sleeper): boolean {
  return a.at < b.at || (a.at === b.at && a.seq < b.seq);
}

/** Resolves once all pending micro-tasks have run. */
export function flushMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

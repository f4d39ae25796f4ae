/** Clocks: the interface for time and delays, the system clock, and a manual clock for tests. */

import { Heap } from './heap.js';

/** A duration in milliseconds, or a time in milliseconds since an arbitrary fixed point. */
export type Millis = number;

/** A source of time and delays. Tests replace it to control when time passes. */
export interface Clock {
  /**
   * Monotonic time in milliseconds. It may stand still while the machine is suspended, and no step
   * of the wall time changes it: a duration by it is never longer than it was. What this node has
   * granted to others, or believes of them, is timed by it.
   */
  now(): Millis;
  /**
   * Monotonic time that also counts suspensions, and forward steps of the wall time like them: a
   * duration by it is never shorter than it was. What others have granted to this node, such as a
   * lease, is timed by it. Not to be compared with `now`.
   */
  latest(): Millis;
  /** Wall time in milliseconds since 1970, for logs and stored records only. */
  wall(): Millis;
  /** Resolves after `ms` milliseconds, or at once when `signal` aborts; never rejects. */
  sleep(ms: Millis, signal?: AbortSignal): Promise<void>;
}

/** Calls `call` every `ms` milliseconds, until the returned function is called. */
export type Repeat = (ms: Millis, call: () => void) => () => void;

/**
 * Repeats by a timer of the operating system. Much cheaper than a loop of sleeps, for what happens
 * many times a second in an idle process.
 */
export const systemRepeat: Repeat = (ms, call) => {
  const timer = setInterval(call, ms);
  return () => clearInterval(timer);
};

/** A timer that fires later than this is late because the process was held up. */
const heldUpMs: Millis = 20;

/** Longest delay that `setTimeout` takes; it replaces a longer one by 1 ms. */
const longestDelayMs: Millis = 2 ** 31 - 1;

/**
 * Calls `onEnd` after `ms`, and not earlier; returns a function that cancels the timer.
 * `setTimeout` counts in whole milliseconds and may fire up to one early. If the process was held up
 * until after that time, the input that arrived in the meantime is read first: a reply or a
 * heartbeat that is already there must not be taken for missing.
 */
export function startTimer(ms: Millis, onEnd: () => void): () => void {
  const dueAt = performance.now() + ms;
  let pending: NodeJS.Immediate | undefined;
  let timer: NodeJS.Timeout | undefined;
  const fire = () => {
    const lateMs = performance.now() - dueAt;
    if (lateMs < 0) wait(-lateMs);
    else if (lateMs > heldUpMs) pending = setImmediate(onEnd);
    else onEnd();
  };
  const wait = (forMs: Millis) => {
    timer = setTimeout(fire, Math.min(Math.ceil(forMs), longestDelayMs));
  };
  wait(ms);
  return () => {
    clearTimeout(timer);
    clearImmediate(pending);
  };
}

/** The clock of the operating system; its sleeps end as the timers of `startTimer` do. */
export class SystemClock implements Clock {
  static create(): SystemClock {
    return new SystemClock();
  }

  // eslint-disable-next-line class-methods-use-this
  now(): Millis {
    return performance.now();
  }

  latest(): Millis {
    return this.now();
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
        cancel();
        signal?.removeEventListener('abort', done);
        resolve();
      };
      const cancel = startTimer(ms, done);
      signal?.addEventListener('abort', done);
    });
  }
}

/** A pending call of `sleep`. */
interface Sleeper {
  readonly wakeAt: Millis;
  /** Breaks ties between sleepers of the same time: the earlier call wakes first. */
  readonly seq: number;
  readonly wake: () => void;
  cancelled: boolean;
}

/** A manual clock: its time moves only in `advance`, which wakes due sleepers in order of time. */
export class HeldClock implements Clock {
  private time = 0;
  private wallAheadMs: Millis = 0;
  private seq = 0;
  private readonly sleepers = Heap.create<Sleeper>(earlier);

  static create(): HeldClock {
    return new HeldClock();
  }

  now(): Millis {
    return this.time;
  }

  latest(): Millis {
    return this.now();
  }

  wall(): Millis {
    return this.time + this.wallAheadMs;
  }

  /** Moves the wall time, and no other, by `ms`; negative values move it back. */
  stepWall(ms: Millis): void {
    this.wallAheadMs += ms;
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
      const wakeAt = this.time + Math.max(0, ms);
      const sleeper: Sleeper = { wakeAt, seq: this.seq, wake, cancelled: false };
      this.sleepers.push(sleeper);
      signal?.addEventListener('abort', cancel, { once: true });
    });
  }

  /**
   * Moves time forward by `ms`. Before it starts, and after it has woken each due sleeper, it lets
   * all pending micro-tasks run, which may add further sleepers.
   */
  async advance(ms: Millis): Promise<void> {
    const end = this.time + ms;
    await flushMicrotasks();
    for (;;) {
      const next = this.sleepers.peek();
      if (!next || next.wakeAt > end) {
        break;
      }
      this.sleepers.pop();
      if (next.cancelled) {
        continue;
      }
      this.time = Math.max(this.time, next.wakeAt);
      next.wake();
      await flushMicrotasks();
    }
    this.time = end;
  }
}

function earlier(a: Sleeper, b: Sleeper): boolean {
  return a.wakeAt < b.wakeAt || (a.wakeAt === b.wakeAt && a.seq < b.seq);
}

/** Resolves on the next turn of the event loop, after all pending micro-tasks have run. */
export function flushMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

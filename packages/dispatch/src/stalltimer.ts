/** Timer for the next event of a stream. */

import type { Clock, Millis } from '@tanagercart/base';

/**
 * Calls back if no event of a stream arrives in time. Sleeps are reused: an earlier sleep is
 * replaced only if it would end too late, and is set again if it ends before the deadline. That
 * avoids creating a timer for each token.
 */
export class StallTimer {
  /** Deadline for the next event; infinite while the timer is disarmed. */
  private due: Millis = Infinity;
  /** When the current sleep ends; infinite while there is none. */
  private timerDue: Millis = Infinity;
  private timer: AbortController | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly onStall: () => void,
  ) {}

  /** Calls `onStall` when an event is overdue. */
  static create(clock: Clock, onStall: () => void): StallTimer {
    return new StallTimer(clock, onStall);
  }

  /** Expects an event within `ms` milliseconds. */
  arm(ms: Millis): void {
    this.due = this.clock.now() + ms;
    if (this.due < this.timerDue) this.setTimer();
  }

  /** Records that the expected event has arrived. */
  disarm(): void {
    this.due = Infinity;
  }

  /** Disarms the timer and ends its sleep. */
  stop(): void {
    this.due = Infinity;
    this.timer?.abort();
  }

  private setTimer(): void {
    this.timer?.abort();
    const timer = new AbortController();
    this.timer = timer;
    this.timerDue = this.due;
    void this.clock.sleep(this.due - this.clock.now(), timer.signal).then(() => {
      if (!timer.signal.aborted) this.onTimeout();
    });
  }

  private onTimeout(): void {
    this.timerDue = Infinity;
    if (this.due === Infinity) return;
    if (this.clock.now() >= this.due) this.onStall();
    else this.setTimer();
  }
}

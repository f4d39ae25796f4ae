/** Tells when a stream is silent for too long. */

import type { Clock, Millis } from '@tanagercart/base';

/** Watches one stream with one timer, which is set again only when it runs out too early or too late. */
export class StallTimer {
  /** When something must have been heard; infinite while nothing is waited for. */
  private due: Millis = Infinity;
  /** When the timer runs out. */
  private timerDue: Millis = Infinity;
  private timer: AbortController | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly onStall: () => void,
  ) {}

  /** Calls `late` when nothing was heard in time. */
  static create(clock: Clock, onStall: () => void): StallTimer {
    return new StallTimer(clock, onStall);
  }

  /** Something must be heard within `ms`. */
  arm(ms: Millis): void {
    this.due = this.clock.now() + ms;
    if (this.due < this.timerDue) this.setTimer();
  }

  /** What was expected has been heard. */
  disarm(): void {
    this.due = Infinity;
  }

  /** Ends the watch. */
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

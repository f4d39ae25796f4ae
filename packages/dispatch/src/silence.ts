/** Tells when a stream is silent for too long. */

import type { Clock, Millis } from '@tanagercart/base';

/** Watches one stream with one timer, which is set again only when it runs out too early or too late. */
export class Silence {
  /** When something must have been heard; infinite while nothing is waited for. */
  private due: Millis = Infinity;
  /** When the timer runs out. */
  private timerAt: Millis = Infinity;
  private timer: AbortController | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly late: () => void,
  ) {}

  /** Calls `late` when nothing was heard in time. */
  static create(clock: Clock, late: () => void): Silence {
    return new Silence(clock, late);
  }

  /** Something must be heard within `ms`. */
  expect(ms: Millis): void {
    this.due = this.clock.now() + ms;
    if (this.due < this.timerAt) this.setTimer();
  }

  /** What was expected has been heard. */
  heard(): void {
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
    this.timerAt = this.due;
    void this.clock.sleep(this.due - this.clock.now(), timer.signal).then(() => {
      if (!timer.signal.aborted) this.runOut();
    });
  }

  private runOut(): void {
    this.timerAt = Infinity;
    if (this.due === Infinity) return;
    if (this.clock.now() >= this.due) this.late();
    else this.setTimer();
  }
}

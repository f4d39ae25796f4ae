/**
 * Spreads the calls of peers over turns of the event loop. A turn accepts one new connection, so long
 * turns would keep a peer that connects to a busy node waiting behind all the others that do.
 */

import type { Millis } from '@tanagercart/base';

/** Time for which calls are started in one turn. */
const sliceMs: Millis = 10;

/** Starts calls in the order of their arrival, for a limited time in each turn. */
export class CallQueue {
  private waiting: (() => void)[] = [];

  private constructor(private readonly now: () => Millis) {}

  static create(now: () => Millis): CallQueue {
    return new CallQueue(now);
  }

  add(start: () => void): void {
    this.waiting.push(start);
    if (this.waiting.length === 1) setImmediate(() => this.work());
  }

  private work(): void {
    const until = this.now() + sliceMs;
    let started = 0;
    while (started < this.waiting.length && (started === 0 || this.now() < until)) {
      this.waiting[started]!();
      started += 1;
    }
    this.waiting = this.waiting.slice(started);
    if (this.waiting.length > 0) setImmediate(() => this.work());
  }
}

/**
 * Lets work that falls due at the same time pass a few pieces at a time, so that a crowd of callers
 * that need the whole state, or of upstreams that are sent orders, does not keep the leader from the
 * heartbeats between voters.
 */

import type { Clock, Millis } from '@tanagercart/base';

/** Callers that pass together. */
const groupSize = 3;

/** Pause after a group; it lasts longer while the event loop has other work to do first. */
const pauseMs: Millis = 2;

/** Callers in the order of the first call that has not passed. */
export class TurnQueue<Caller> {
  private readonly waiting = new Map<Caller, (mayPass: boolean) => void>();
  private isServing = false;

  private constructor(private readonly clock: Clock) {}

  static create<Caller>(clock: Clock): TurnQueue<Caller> {
    return new TurnQueue(clock);
  }

  /**
   * Resolves to true when it is the caller's turn. A caller that calls again keeps its place, and its
   * earlier call, on which it has given up, resolves to false at once.
   */
  wait(caller: Caller): Promise<boolean> {
    return new Promise((resolve) => {
      const earlier = this.waiting.get(caller);
      this.waiting.set(caller, resolve);
      earlier?.(false);
      if (!this.isServing) void this.serve();
    });
  }

  private async serve(): Promise<void> {
    this.isServing = true;
    while (this.waiting.size > 0) {
      for (const [caller, pass] of [...this.waiting].slice(0, groupSize)) {
        this.waiting.delete(caller);
        pass(true);
      }
      await this.clock.sleep(pauseMs);
    }
    this.isServing = false;
  }
}

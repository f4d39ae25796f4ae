/**
 * Lets the callers that need the whole state pass a few at a time, so that a crowd of them does not
 * keep the leader from the heartbeats between voters.
 */

import type { Clock, Millis, NodeId } from '@tanagercart/base';

/** Callers that pass together. */
const groupSize = 3;

/** Pause after a group; it lasts longer while the event loop has other work to do first. */
const pauseMs: Millis = 2;

/** Callers in the order of the first call that has not passed. */
export class TurnQueue {
  private readonly waiting = new Map<NodeId, (mayPass: boolean) => void>();
  private isServing = false;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): TurnQueue {
    return new TurnQueue(clock);
  }

  /**
   * Resolves to true when it is the caller's turn. A caller that calls again keeps its place, and its
   * earlier call, on which it has given up, resolves to false at once.
   */
  wait(caller: NodeId): Promise<boolean> {
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

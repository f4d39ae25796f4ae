/** The requests that a listener has in progress. */

import { Bell } from '@tanagercart/base';

/** Counts what has begun and not ended. */
export class ActiveRequests {
  private begun = 0;
  private readonly ended = Bell.create();

  static create(): ActiveRequests {
    return new ActiveRequests();
  }

  get count(): number {
    return this.begun;
  }

  /** Counts `work` until it has ended. */
  async track(work: Promise<unknown>): Promise<void> {
    this.begun += 1;
    try {
      await work;
    } finally {
      this.begun -= 1;
      this.ended.ring();
    }
  }

  /** Resolves once nothing is in progress. */
  async untilIdle(): Promise<void> {
    while (this.begun > 0) await this.ended.wait();
  }
}

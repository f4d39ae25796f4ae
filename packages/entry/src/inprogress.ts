/** The requests in progress at a listener. */

import { Bell } from '@tanagercart/base';

/** Counts requests in progress, so that a draining node can wait for their end. */
export class ActiveRequests {
  private active = 0;
  private readonly endedBell = Bell.create();

  static create(): ActiveRequests {
    return new ActiveRequests();
  }

  get count(): number {
    return this.active;
  }

  /** Counts one request as in progress until `work` settles. */
  async track(work: Promise<unknown>): Promise<void> {
    this.active += 1;
    try {
      await work;
    } finally {
      this.active -= 1;
      this.endedBell.ring();
    }
  }

  /** Resolves once no request is in progress. */
  async untilIdle(): Promise<void> {
    while (this.active > 0) await this.endedBell.wait();
  }
}

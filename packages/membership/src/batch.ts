/** Collects changes of the roster, so that many at once make few proposals. */

import type { Clock, Millis } from '@tanagercart/base';
import type { Proposer, RosterCommand } from '@tanagercart/state';

/** Time during which changes are collected, in milliseconds. */
const collectMs: Millis = 50;

/** Changes in one proposal at most. */
const batchLimit = 256;

/** How long one proposal may take, in milliseconds. */
const proposeTimeoutMs: Millis = 1000;

type Change = RosterCommand['changes'][number];

interface Waiting {
  readonly change: Change;
  readonly settle: (committed: boolean) => void;
}

/** Proposes changes of the roster in batches. */
export class RosterBatch {
  private waiting: Waiting[] = [];
  private running = false;

  private constructor(
    private readonly proposer: Proposer,
    private readonly clock: Clock,
  ) {}

  static create(proposer: Proposer, clock: Clock): RosterBatch {
    return new RosterBatch(proposer, clock);
  }

  /** Adds a change to the next batch; whether it is known to be committed. */
  add(change: Change): Promise<boolean> {
    return new Promise((settle) => {
      this.waiting.push({ change, settle });
      if (!this.running) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.waiting.length > 0) {
      await this.clock.sleep(collectMs);
      const batch = this.waiting.splice(0, batchLimit);
      const changes = batch.map((w) => w.change);
      const done = await this.proposer.propose({ kind: 'roster', changes }, proposeTimeoutMs);
      for (const w of batch) w.settle(done.isOk());
    }
    this.running = false;
  }
}

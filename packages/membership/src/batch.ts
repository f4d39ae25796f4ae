/**
 * Batches changes of the roster (live nodes and upstreams). Used when many of them change at once:
 * the changes then share a few proposals instead of taking one log entry each.
 */

import type { Clock, Millis } from '@tanagercart/base';
import type { Proposer, RosterCommand } from '@tanagercart/state';

/** Time for which the batcher collects changes before it proposes them, in milliseconds. */
const batchDelayMs: Millis = 50;

/** Most changes in one proposal; the rest wait for the next one. */
const maxBatchChanges = 256;

/** Deadline of one proposal, in milliseconds. */
const proposeTimeoutMs: Millis = 1000;

type Change = RosterCommand['changes'][number];

interface PendingChange {
  readonly change: Change;
  readonly resolve: (committed: boolean) => void;
}

/** Collects changes of the roster and proposes them in batches, one batch at a time. */
export class RosterBatcher {
  private pending: PendingChange[] = [];
  private running = false;

  private constructor(
    private readonly proposer: Proposer,
    private readonly clock: Clock,
  ) {}

  static create(proposer: Proposer, clock: Clock): RosterBatcher {
    return new RosterBatcher(proposer, clock);
  }

  /**
   * Adds a change to the next batch. Resolves to whether the batch is known to be committed; after
   * a false result it may still be committed later.
   */
  add(change: Change): Promise<boolean> {
    return new Promise((resolve) => {
      this.pending.push({ change, resolve });
      if (!this.running) void this.run();
    });
  }

  private async run(): Promise<void> {
    this.running = true;
    while (this.pending.length > 0) {
      await this.clock.sleep(batchDelayMs);
      const batch = this.pending.splice(0, maxBatchChanges);
      const changes = batch.map((p) => p.change);
      const result = await this.proposer.propose({ kind: 'roster', changes }, proposeTimeoutMs);
      for (const p of batch) p.resolve(result.isOk());
    }
    this.running = false;
  }
}

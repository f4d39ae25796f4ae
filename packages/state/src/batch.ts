/** Puts many small commands into one entry of the log. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { invariant } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import type { Command, Outcome } from './command.js';
import type { CommittedCommand, ProposeFailure } from './proposer.js';

/** Commands in one batch at most. */
const batchLimit = 256;

/** Batches that may be on their way at once. */
const inFlightLimit = 4;

/** How long a command waits for others while a batch is on its way, in milliseconds. */
const gatherMs: Millis = 2;

/** Proposes one command. */
export interface CommandProposer {
  propose(command: Command, timeoutMs: Millis): Promise<Result<CommittedCommand, ProposeFailure>>;
}

interface Waiting {
  readonly command: Command;
  readonly deadline: Millis;
  readonly settle: (result: Result<CommittedCommand, ProposeFailure>) => void;
}

/** Gathers commands while earlier ones are on their way; an idle one is sent at once. */
export class BatchingProposer implements CommandProposer {
  private waiting: Waiting[] = [];
  private inFlight = 0;
  private gathering = false;

  private constructor(
    private readonly proposals: CommandProposer,
    private readonly clock: Clock,
  ) {}

  static create(proposals: CommandProposer, clock: Clock): BatchingProposer {
    return new BatchingProposer(proposals, clock);
  }

  /** Proposes a command as part of a batch. */
  propose(command: Command, timeoutMs: Millis): Promise<Result<CommittedCommand, ProposeFailure>> {
    const deadline = this.clock.now() + timeoutMs;
    return new Promise((settle) => {
      this.waiting.push({ command, deadline, settle });
      void this.pump();
    });
  }

  private async pump(): Promise<void> {
    if (this.gathering || this.inFlight >= inFlightLimit) return;
    if (this.inFlight > 0) {
      this.gathering = true;
      await this.clock.sleep(gatherMs);
      this.gathering = false;
    }
    while (this.waiting.length > 0 && this.inFlight < inFlightLimit) {
      const batch = this.waiting.splice(0, batchLimit);
      this.inFlight += 1;
      void this.send(batch);
    }
  }

  private async send(batch: readonly Waiting[]): Promise<void> {
    const now = this.clock.now();
    const live = batch.filter((w) => w.deadline > now);
    for (const w of batch) {
      if (w.deadline <= now) w.settle(err({ kind: 'unavailable', detail: 'no leader in time' }));
    }
    if (live.length > 0) await this.proposeAll(live, now);
    this.inFlight -= 1;
    void this.pump();
  }

  private async proposeAll(batch: readonly Waiting[], now: Millis): Promise<void> {
    const timeoutMs = Math.max(...batch.map((w) => w.deadline)) - now;
    const [only] = batch;
    if (batch.length === 1 && only) {
      only.settle(await this.proposals.propose(only.command, timeoutMs));
      return;
    }
    const commands = batch.map((w) => w.command);
    const result = await this.proposals.propose({ kind: 'batch', commands }, timeoutMs);
    batch.forEach((w, i) => w.settle(result.andThen((c) => partOf(c, i))));
  }
}

function partOf(committed: CommittedCommand, i: number): Result<CommittedCommand, ProposeFailure> {
  const { outcome, index } = committed;
  // An index that was applied before has lost its outcome: the command's effect is not known.
  if (outcome.kind === 'stale') return err({ kind: 'unknown', detail: 'the outcome was lost' });
  invariant(outcome.kind === 'batch', 'a batch has the outcome of a batch');
  const part: Outcome | undefined = outcome.outcomes[i];
  invariant(part !== undefined, 'a batch has one outcome for each command');
  return ok({ index, outcome: part });
}

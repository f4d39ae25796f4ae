/**
 * Combines commands into batches. Used when many small commands are proposed at once, which would
 * otherwise cost one log entry each.
 */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { invariant } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import type { Command, Outcome } from './command.js';
import type { CommittedCommand, ProposeFailure } from './proposer.js';

/** Bounds the size of one log entry. */
const maxBatchCommands = 256;

/** Batches that may be proposed and not yet settled at once; further commands are queued. */
const maxBatchesInFlight = 4;

/** How long commands are collected for the next batch while another is in flight. */
const batchDelayMs: Millis = 2;

/** Proposes commands to the replicated log. */
export interface CommandProposer {
  /** Proposes a command and waits for its outcome until the timeout. */
  propose(command: Command, timeoutMs: Millis): Promise<Result<CommittedCommand, ProposeFailure>>;
}

/** A queued command. */
interface PendingCommand {
  readonly command: Command;
  readonly deadline: Millis;
  readonly settle: (result: Result<CommittedCommand, ProposeFailure>) => void;
}

/**
 * Proposes commands in batches. A command is sent at once while no batch is in flight; otherwise it
 * is combined with the commands of the next `batchDelayMs`.
 */
export class BatchingProposer implements CommandProposer {
  private pending: PendingCommand[] = [];
  private inFlight = 0;
  private delaying = false;

  private constructor(
    private readonly proposer: CommandProposer,
    private readonly clock: Clock,
  ) {}

  static create(proposer: CommandProposer, clock: Clock): BatchingProposer {
    return new BatchingProposer(proposer, clock);
  }

  /**
   * Proposes a command, alone or as part of a batch, and waits for its outcome. A batch has the
   * latest deadline of its commands, so a command in it may wait longer than its own `timeoutMs`.
   */
  propose(command: Command, timeoutMs: Millis): Promise<Result<CommittedCommand, ProposeFailure>> {
    const deadline = this.clock.now() + timeoutMs;
    return new Promise((settle) => {
      this.pending.push({ command, deadline, settle });
      void this.sendBatches();
    });
  }

  /** Sends queued commands, after a delay if a batch is in flight. */
  private async sendBatches(): Promise<void> {
    if (this.delaying || this.inFlight >= maxBatchesInFlight) return;
    if (this.inFlight > 0) {
      this.delaying = true;
      await this.clock.sleep(batchDelayMs);
      this.delaying = false;
    }
    while (this.pending.length > 0 && this.inFlight < maxBatchesInFlight) {
      const batch = this.pending.splice(0, maxBatchCommands);
      this.inFlight += 1;
      void this.sendBatch(batch);
    }
  }

  /** Sends one batch. Commands whose deadline has passed are rejected as not appended. */
  private async sendBatch(batch: readonly PendingCommand[]): Promise<void> {
    const now = this.clock.now();
    const unexpired = batch.filter((p) => p.deadline > now);
    for (const p of batch) {
      if (p.deadline <= now) p.settle(err({ kind: 'unavailable', detail: 'no leader in time' }));
    }
    if (unexpired.length > 0) await this.proposeBatch(unexpired, now);
    this.inFlight -= 1;
    void this.sendBatches();
  }

  private async proposeBatch(batch: readonly PendingCommand[], now: Millis): Promise<void> {
    const timeoutMs = Math.max(...batch.map((p) => p.deadline)) - now;
    const [only] = batch;
    if (batch.length === 1 && only) {
      only.settle(await this.proposer.propose(only.command, timeoutMs));
      return;
    }
    const commands = batch.map((p) => p.command);
    const result = await this.proposer.propose({ kind: 'batch', commands }, timeoutMs);
    batch.forEach((p, i) => p.settle(result.andThen((c) => resultOf(c, i))));
  }
}

/** The result of the command at position `i` of a batch. */
function resultOf(
  committed: CommittedCommand,
  i: number,
): Result<CommittedCommand, ProposeFailure> {
  const { outcome, index } = committed;
  // The log index was applied before, so the outcomes are lost, and whether each command had an
  // effect is unknown.
  if (outcome.kind === 'stale') return err({ kind: 'unknown', detail: 'the outcome was lost' });
  invariant(outcome.kind === 'batch', 'the outcome of a batch is a batch of outcomes');
  const part: Outcome | undefined = outcome.outcomes[i];
  invariant(part !== undefined, 'a batch has one outcome for each of its commands');
  return ok({ index, outcome: part });
}

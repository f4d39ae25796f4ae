/** Proposes commands to the leader of the replicated log from any node. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Millis, NodeId } from '@tanagercart/base';
import { decode } from '@tanagercart/protocol';
import type { Transport } from '@tanagercart/protocol';
import { encodeCommand } from './command.js';
import type { Command, Outcome } from './command.js';

/** Delay before the next voter is asked while no leader is known. */
const leaderRetryMs = 50;

/** Why the outcome of a command is not available. */
export type ProposeFailure =
  /** The command was not appended to the log, so it is safe to propose it again. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** The command may or may not have been committed, or may be committed later. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** The log index and the outcome of a command that was committed and applied. */
export interface CommittedCommand {
  readonly index: number;
  readonly outcome: Outcome;
}

/**
 * Proposes the commands of one node. It asks the voters in turn until it finds the leader, and
 * remembers the leader for later commands. A command is sent again only if the call did not reach
 * the voter or the voter refused it, so that it is appended to the log at most once.
 */
export class Proposer {
  private leader: NodeId | undefined;
  private stopped = false;

  private constructor(
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly voters: () => readonly NodeId[],
  ) {}

  /** `voters` returns the nodes that may be elected leader. */
  static create(transport: Transport, clock: Clock, voters: () => readonly NodeId[]): Proposer {
    return new Proposer(transport, clock, voters);
  }

  /** Proposes a command and waits for its outcome, for `timeoutMs` at most. */
  async propose(
    command: Command,
    timeoutMs: Millis,
  ): Promise<Result<CommittedCommand, ProposeFailure>> {
    const bytes = encodeCommand(command);
    const deadline = this.clock.now() + timeoutMs;
    let attempt = 0;
    while (!this.stopped && this.clock.now() < deadline) {
      const voter = this.leader ?? this.nextVoter(attempt);
      if (!voter) return err({ kind: 'unavailable', detail: 'no voter is known' });
      attempt += 1;
      const leftMs = Math.max(1, deadline - this.clock.now());
      const reply = await this.transport.call(voter, 'propose', { bytes }, { timeoutMs: leftMs });
      if (reply.isErr()) {
        this.leader = undefined;
        if (reply.error.kind !== 'unreachable') {
          return err({ kind: 'unknown', detail: reply.error.kind });
        }
        await this.clock.sleep(leaderRetryMs);
        continue;
      }
      const answer = reply.value;
      switch (answer.kind) {
        case 'applied':
          this.leader = voter;
          return ok({ index: answer.index, outcome: decode<Outcome>(answer.outcome) });
        case 'unknown':
          this.leader = undefined;
          return err({ kind: 'unknown', detail: answer.reason });
        case 'unavailable':
        case 'not-leader':
          this.leader = answer.kind === 'not-leader' ? answer.leader : undefined;
          if (!this.leader || this.leader === voter) await this.clock.sleep(leaderRetryMs);
          break;
        default:
          return err({ kind: 'unknown', detail: 'unknown reply' });
      }
    }
    return err({ kind: 'unavailable', detail: 'no leader in time' });
  }

  /** Stops all retries. Later proposals fail immediately. */
  stop(): void {
    this.stopped = true;
  }

  private nextVoter(attempt: number): NodeId | undefined {
    const voters = this.voters();
    return voters[attempt % Math.max(1, voters.length)];
  }
}

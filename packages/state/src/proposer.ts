/** Brings commands to the leader of the replicated log, from any node. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Clock, Millis, NodeId } from '@tanagercart/base';
import { decode } from '@tanagercart/protocol';
import type { Transport } from '@tanagercart/protocol';
import { encodeCommand } from './command.js';
import type { Command, Outcome } from './command.js';

/** Pause before the leader is looked for again, in milliseconds. */
const searchPauseMs = 50;

/** Why a command has no outcome. */
export type ProposeFailure =
  /** The command was not put into the log. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** The command may or may not be committed. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** A committed command. */
export interface CommittedCommand {
  readonly index: number;
  readonly outcome: Outcome;
}

/** Proposes commands on behalf of one node. */
export class Proposer {
  private leader: NodeId | undefined;
  private stopped = false;

  private constructor(
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly voters: () => readonly NodeId[],
  ) {}

  /** `voters` names the nodes that may lead. */
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
    let turn = 0;
    while (!this.stopped && this.clock.now() < deadline) {
      const target = this.leader ?? this.nextVoter(turn);
      if (!target) return err({ kind: 'unavailable', detail: 'no voter is known' });
      turn += 1;
      const left = Math.max(1, deadline - this.clock.now());
      const reply = await this.transport.call(target, 'propose', { bytes }, { timeoutMs: left });
      if (reply.isErr()) {
        this.leader = undefined;
        if (reply.error.kind !== 'unreachable') {
          return err({ kind: 'unknown', detail: reply.error.kind });
        }
        await this.clock.sleep(searchPauseMs);
        continue;
      }
      const answer = reply.value;
      switch (answer.kind) {
        case 'applied':
          this.leader = target;
          return ok({ index: answer.index, outcome: decode<Outcome>(answer.outcome) });
        case 'unknown':
          this.leader = undefined;
          return err({ kind: 'unknown', detail: answer.reason });
        case 'unavailable':
        case 'not-leader':
          this.leader = answer.kind === 'not-leader' ? answer.leader : undefined;
          if (!this.leader || this.leader === target) await this.clock.sleep(searchPauseMs);
          break;
        default:
          return err({ kind: 'unknown', detail: 'unknown reply' });
      }
    }
    return err({ kind: 'unavailable', detail: 'no leader in time' });
  }

  /** Ends every wait; later proposals fail at once. */
  stop(): void {
    this.stopped = true;
  }

  private nextVoter(turn: number): NodeId | undefined {
    const voters = this.voters();
    return voters[turn % Math.max(1, voters.length)];
  }
}

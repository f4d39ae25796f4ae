/** Watches until a command is in force on every node, asking the leader through changes of leader. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { ProgressReply, Transport } from '@tanagercart/protocol';

/** Pause between two questions, in milliseconds. */
const pauseMs = 50;

/** How long one question may take, in milliseconds. */
const askTimeoutMs = 500;

/** What is known of a command that was committed. */
export type CommandProgress =
  /** No node takes new work under an older state. */
  | { readonly kind: 'in-force' }
  /** These nodes may take new work under an older state, for `atMostMs` from now. */
  | { readonly kind: 'pending'; readonly waitingFor: readonly NodeId[]; readonly atMostMs: Millis }
  /** No leader answered: nothing is known but that the command is committed. */
  | { readonly kind: 'no-leader' };

/** Asks for the progress of commands. */
export class ProgressClient {
  private leader: NodeId | undefined;

  private constructor(
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly voters: () => readonly NodeId[],
  ) {}

  /** `voters` names the nodes that may lead. */
  static create(
    transport: Transport,
    clock: Clock,
    voters: () => readonly NodeId[],
  ): ProgressClient {
    return new ProgressClient(transport, clock, voters);
  }

  /** Waits until the command at `index` is in force everywhere, for `timeoutMs` at most. */
  async waitUntilInForce(index: number, timeoutMs: Millis): Promise<CommandProgress> {
    const deadline = this.clock.now() + timeoutMs;
    let known: CommandProgress = { kind: 'no-leader' };
    for (let turn = 0; this.clock.now() < deadline; turn += 1) {
      const reply = await this.ask(index, turn);
      if (reply?.kind === 'in-force') return reply;
      if (reply?.kind === 'pending') known = reply;
      await this.clock.sleep(pauseMs);
    }
    return known;
  }

  private async ask(index: number, turn: number): Promise<ProgressReply | undefined> {
    const voters = this.voters();
    const target = this.leader ?? voters[turn % Math.max(1, voters.length)];
    if (!target) return undefined;
    const options = { timeoutMs: askTimeoutMs };
    const reply = await this.transport.call(target, 'progress', { index }, options);
    if (reply.isErr()) {
      this.leader = undefined;
      return undefined;
    }
    const answer = reply.value;
    this.leader = answer.kind === 'not-leader' ? answer.leader : target;
    // A voter that takes itself for the leader without a lease must not be asked for ever.
    if (answer.kind === 'not-leader' && answer.leader === target) this.leader = undefined;
    return answer;
  }
}

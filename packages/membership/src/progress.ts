/** Polls the leader, across changes of leader, until a command is in force on every node. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { ProgressReply, Transport } from '@tanagercart/protocol';

/** Pause between two polls, in milliseconds. */
const pollIntervalMs = 50;

/** Deadline of one poll, in milliseconds. */
const pollTimeoutMs = 500;

/** How far a committed command has come into force. */
export type CommandProgress =
  /** No node takes new work under an older state. */
  | { readonly kind: 'in-force' }
  /** These nodes may take new work under an older state, for `atMostMs` from now. */
  | { readonly kind: 'pending'; readonly waitingFor: readonly NodeId[]; readonly atMostMs: Millis }
  /** No leader replied: nothing is known except that the command is committed. */
  | { readonly kind: 'no-leader' };

/** Asks the leader for the progress of commands. */
export class ProgressClient {
  private leader: NodeId | undefined;

  private constructor(
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly voters: () => readonly NodeId[],
  ) {}

  /** `voters` returns the nodes that may lead. */
  static create(
    transport: Transport,
    clock: Clock,
    voters: () => readonly NodeId[],
  ): ProgressClient {
    return new ProgressClient(transport, clock, voters);
  }

  /**
   * Resolves once the command at `index` is in force on every node, or after `timeoutMs` to what
   * is known of its progress by then.
   */
  async waitUntilInForce(index: number, timeoutMs: Millis): Promise<CommandProgress> {
    const deadline = this.clock.now() + timeoutMs;
    let progress: CommandProgress = { kind: 'no-leader' };
    for (let attempt = 0; this.clock.now() < deadline; attempt += 1) {
      const reply = await this.poll(index, attempt);
      if (reply?.kind === 'in-force') return reply;
      if (reply?.kind === 'pending') progress = reply;
      await this.clock.sleep(pollIntervalMs);
    }
    return progress;
  }

  private async poll(index: number, attempt: number): Promise<ProgressReply | undefined> {
    const voters = this.voters();
    const target = this.leader ?? voters[attempt % Math.max(1, voters.length)];
    if (!target) return undefined;
    const options = { timeoutMs: pollTimeoutMs };
    const reply = await this.transport.call(target, 'progress', { index }, options);
    if (reply.isErr()) {
      this.leader = undefined;
      return undefined;
    }
    const answer = reply.value;
    this.leader = answer.kind === 'not-leader' ? answer.leader : target;
    // A voter that names itself as leader but has no lease must not be polled for ever.
    if (answer.kind === 'not-leader' && answer.leader === target) this.leader = undefined;
    return answer;
  }
}

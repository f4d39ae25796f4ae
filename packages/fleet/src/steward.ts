/**
 * Keeps the voter set right without an operator: nodes with a disk ask to join, and a voter that
 * does not answer leaves as soon as the log is no weaker without it.
 */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { Raft } from '@tanagercart/log';
import type { JoinCall, JoinReply, Transport } from '@tanagercart/protocol';
import type { Voter } from './voter.js';

/** How often a node that does not vote asks to join, and the leader looks after the voters. */
const stepMs: Millis = 200;

/** A request to join counts for this long. */
const joinMs: Millis = 1200;

/** A voter that was silent for this long leaves a set of even size. */
const silentMs: Millis = 1500;

/** How long a node may take to answer a request to join. */
const answerMs: Millis = 400;

/** Most voters; other nodes with a disk stand by. */
const mostVoters = 7;

export interface StewardOptions {
  readonly self: NodeId;
  readonly voter: Voter;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Nodes that may know the voters. */
  readonly seeds: () => readonly NodeId[];
}

/** Looks after the voter set. */
export class Steward {
  private readonly joining = new Map<NodeId, Millis>();
  private known: readonly NodeId[] = [];
  private changing = false;

  private constructor(private readonly o: StewardOptions) {}

  static create(options: StewardOptions): Steward {
    const steward = new Steward(options);
    options.transport.serve('join', async (_, call) => steward.onJoin(call));
    return steward;
  }

  /** Nodes with a disk that were heard of, voters first. */
  get nodes(): readonly NodeId[] {
    return [...new Set([...this.o.voter.members, ...this.known, ...this.o.seeds()])];
  }

  /** Task: asks to join while this node does not vote, and looks after the voters while it leads. */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, voter } = this.o;
    while (!stop.aborted) {
      const { raft } = voter;
      if (raft && voter.leads) this.lookAfter(raft);
      else if (raft && !voter.votes) await this.askToJoin();
      await clock.sleep(stepMs, stop);
    }
  }

  private onJoin(call: JoinCall): JoinReply {
    const { voter, clock } = this.o;
    if (voter.leads) this.joining.set(call.node, clock.now());
    return { leader: voter.leader, voters: voter.members };
  }

  private async askToJoin(): Promise<void> {
    const { transport, self } = this.o;
    const others = this.nodes.filter((n) => n !== self);
    const replies = await Promise.all(
      others.map((n) => transport.call(n, 'join', { node: self }, { timeoutMs: answerMs })),
    );
    const voters = replies.flatMap((r) =>
      r.isOk() ? [...r.value.voters, ...(r.value.leader ? [r.value.leader] : [])] : [],
    );
    if (voters.length > 0) this.known = [...new Set(voters)];
  }

  private lookAfter(raft: Raft): void {
    if (this.changing) return;
    const change = this.nextChange(raft);
    if (!change) return;
    this.changing = true;
    void this.carryOut(raft, change);
  }

  private async carryOut(raft: Raft, change: Change): Promise<void> {
    const { logger, clock } = this.o;
    logger.info('Changing the voters.', { action: change.action, node: change.node });
    const reply = await raft.changeVoters(change);
    const reason = 'reason' in reply ? reply.reason : undefined;
    logger.info('Changed the voters.', {
      action: change.action,
      node: change.node,
      outcome: reply.kind,
      reason,
      voters: raft.voterConfig.voters.map((m) => m.id).join(' '),
    });
    this.joining.delete(change.node);
    if (reply.kind !== 'changed') await clock.sleep(stepMs);
    this.changing = false;
  }

  private nextChange(raft: Raft): Change | undefined {
    const { clock, self } = this.o;
    const now = clock.now();
    const { voters, learners } = raft.voterConfig;
    const silent = voters.filter((m) => m.id !== self && !raft.hasAnsweredWithin(m.id, silentMs));
    const isWeak = voters.length > 2 && voters.length % 2 === 0;
    if (isWeak && silent[0]) return { action: 'remove', node: silent[0].id };
    const asking = [...this.joining].filter(([, at]) => now - at < joinMs).map(([node]) => node);
    const [node] = asking;
    if (node !== undefined) {
      if (voters.length < mostVoters || voters.some((m) => m.id === node)) {
        return { action: 'add', node };
      }
      if (silent[0]) return { action: 'remove', node: silent[0].id };
    }
    const lost = learners.find((m) => !raft.hasAnsweredWithin(m.id, silentMs));
    return lost ? { action: 'remove', node: lost.id } : undefined;
  }
}

interface Change {
  readonly action: 'add' | 'remove';
  readonly node: NodeId;
}

/** The shared state of a node: it votes where it is a voter, follows, and keeps nodes and plans while it leads. */

import { randomUUID } from 'node:crypto';
import { systemRandom } from '@tanagercart/base';
import type { Clock, Logger, NodeId, TaskGroup } from '@tanagercart/base';
import { MemoryStore, Raft } from '@tanagercart/log';
import { Feed, follow, keepNodes } from '@tanagercart/membership';
import type { ConfigurationLease, History } from '@tanagercart/membership';
import { encode } from '@tanagercart/protocol';
import type { NodeAddress, Transport } from '@tanagercart/protocol';
import { keepPlans } from '@tanagercart/routing';
import type { Settings } from '@tanagercart/settings';
import type { Proposer } from '@tanagercart/state';
import { CommitTimes } from './committimes.js';

/** What the shared state needs. */
export interface ControlOptions {
  readonly settings: Settings;
  readonly transport: Transport;
  readonly history: History;
  readonly lease: ConfigurationLease;
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly draining: () => boolean;
  readonly onBroken: (error: unknown) => void;
}

/** A node's part in the shared state. */
export class Control {
  private readonly commitTimes = CommitTimes.create();
  private readonly feed: Feed;
  private raft: Raft | undefined;

  private constructor(private readonly o: ControlOptions) {
    this.feed = this.createFeed();
  }

  static create(options: ControlOptions): Control {
    return new Control(options);
  }

  /** The leader as this node knows it. */
  get leader(): NodeId | undefined {
    return this.raft?.leader;
  }

  /** Whether this node leads and holds the lease of a leader. */
  get leads(): boolean {
    return this.raft?.holdsLease === true;
  }

  /** Starts to vote and to follow, under the addresses that the node listens at. */
  begin(address: NodeAddress, tasks: TaskGroup, signal: AbortSignal): void {
    if (this.o.settings.voters.includes(address.id)) this.raft = this.createRaft(address.id);
    this.servePropose();
    this.serveProgress();
    tasks.start(() => follow(this.followOptions(address), signal));
    tasks.start(() => keepNodes(this.registrarOptions(), signal));
    tasks.start(() => keepPlans(this.plannerOptions(), signal));
  }

  /** Stops voting. */
  async stop(): Promise<void> {
    const { raft } = this;
    // A proposal that came after this would wait for ever.
    this.raft = undefined;
    await raft?.stop();
  }

  private createRaft(self: NodeId): Raft {
    const { clock, settings, onBroken, transport, logger } = this.o;
    return Raft.create({
      self,
      voters: settings.voters,
      transport,
      store: MemoryStore.create(),
      machine: {
        apply: (index, bytes) => {
          this.commitTimes.note(index, clock.now());
          return encode(this.o.history.apply(index, bytes));
        },
      },
      clock,
      random: systemRandom,
      timing: settings.timing,
      logger: logger.part('log'),
      onBroken,
    });
  }

  private createFeed(): Feed {
    const { transport, history, clock, settings } = this.o;
    const source = {
      leaseMs: () => (this.leads ? settings.timing.leaseMs : 0),
      upTo: () => history.state.index,
      parent: () => this.leader,
    };
    return Feed.create(transport, history, source, clock, settings.timing);
  }

  private followOptions(self: NodeAddress) {
    const { transport, history, lease, clock, logger, draining, settings } = this.o;
    return {
      self,
      incarnation: randomUUID(),
      transport,
      history,
      lease,
      clock,
      timing: settings.timing,
      logger: logger.part('follow'),
      draining,
      seeds: () => settings.voters,
    };
  }

  private registrarOptions() {
    const { history, proposer, clock, logger } = this.o;
    return {
      feed: this.feed,
      history,
      proposer,
      clock,
      timing: this.o.settings.timing,
      logger: logger.part('nodes'),
      leads: () => this.leads,
    };
  }

  private plannerOptions() {
    const { history, proposer, clock, logger } = this.o;
    return {
      state: history.state,
      proposer,
      clock,
      logger: logger.part('planner'),
      leads: () => this.leads,
    };
  }

  private servePropose(): void {
    this.o.transport.serve('propose', async (_, call) => {
      if (!this.raft) return { kind: 'not-leader', leader: undefined };
      const applied = await this.raft.propose(call.bytes);
      if (applied.isOk()) return { kind: 'applied', ...applied.value };
      if (applied.error.kind === 'not-leader') return applied.error;
      return { kind: 'unknown', reason: 'leadership was lost' };
    });
  }

  private serveProgress(): void {
    this.o.transport.serve('progress', async (_, call) => {
      if (!this.leads) return { kind: 'not-leader', leader: this.leader };
      return this.feed.progress(call.index, this.commitTimes.at(call.index));
    });
  }
}

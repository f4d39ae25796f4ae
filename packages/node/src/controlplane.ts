/** The control plane of a node: it votes where it is a voter, follows, and keeps plans while it leads. */

import { systemRandom } from '@tanagercart/base';
import type { Clock, Logger, NodeId, TaskGroup } from '@tanagercart/base';
import { MemoryStore, Raft } from '@tanagercart/log';
import { Control } from '@tanagercart/membership';
import type { ConfigurationLease, History } from '@tanagercart/membership';
import { encode } from '@tanagercart/protocol';
import type { NodeAddress, Transport } from '@tanagercart/protocol';
import { keepPlans } from '@tanagercart/routing';
import type { Settings } from '@tanagercart/settings';
import type { Proposer } from '@tanagercart/state';

/** What the control plane needs. */
export interface ControlPlaneOptions {
  readonly settings: Settings;
  readonly address: () => NodeAddress;
  readonly incarnation: string;
  readonly transport: Transport;
  readonly history: History;
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly draining: () => boolean;
  readonly onBroken: (error: unknown) => void;
}

/** A node's part in the shared state. */
export class ControlPlane {
  private readonly control: Control;
  private raft: Raft | undefined;

  private constructor(private readonly o: ControlPlaneOptions) {
    this.control = this.createControl();
  }

  static create(options: ControlPlaneOptions): ControlPlane {
    return new ControlPlane(options);
  }

  /** The leader as this node knows it. */
  get leader(): NodeId | undefined {
    return this.raft?.leader;
  }

  /** Whether this node leads and holds the lease of a leader. */
  get leads(): boolean {
    return this.raft?.holdsLease === true;
  }

  /** The lease under which this node takes new work. */
  get lease(): ConfigurationLease {
    return this.control.lease;
  }

  /** Starts to vote and to follow. */
  begin(tasks: TaskGroup, signal: AbortSignal): void {
    const { id } = this.o.address();
    if (this.o.settings.voters.includes(id)) this.raft = this.createRaft(id);
    this.servePropose();
    this.control.start(tasks, signal);
    tasks.start(() => keepPlans(this.plannerOptions(), signal));
  }

  /** Stops voting. */
  async stop(): Promise<void> {
    await this.raft?.stop();
  }

  private createRaft(self: NodeId): Raft {
    const { clock, settings, onBroken, transport, logger, history } = this.o;
    return Raft.create({
      self,
      voters: settings.voters,
      transport,
      store: MemoryStore.create(),
      machine: {
        apply: (index, bytes) => {
          this.control.commitTimes.note(index, clock.now());
          return encode(history.apply(index, bytes));
        },
      },
      clock,
      random: systemRandom,
      timing: settings.timing,
      logger: logger.part('log'),
      onBroken,
    });
  }

  private createControl(): Control {
    const { address, settings, logger, ...shared } = this.o;
    return Control.create({
      ...shared,
      self: address,
      leadership: { leads: () => this.leads, leader: () => this.leader },
      timing: settings.timing,
      logger: logger.part('control'),
      seeds: () => settings.voters,
    });
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
}

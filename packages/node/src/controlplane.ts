/** The control plane of a node: it votes where it is a voter, follows, and keeps plans while it leads. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { systemRandom } from '@tanagercart/base';
import type { Clock, Logger, NodeId, TaskGroup } from '@tanagercart/base';
import { Raft, defaultLimits } from '@tanagercart/log';
import type { Disk, DiskStore, Machine } from '@tanagercart/log';
import { Control } from '@tanagercart/membership';
import type { ConfigurationLease, History } from '@tanagercart/membership';
import { decode, encode } from '@tanagercart/protocol';
import type { NodeAddress, StateSnapshot, Transport } from '@tanagercart/protocol';
import { keepPlans } from '@tanagercart/routing';
import type { Settings } from '@tanagercart/settings';
import type { Proposer } from '@tanagercart/state';
import { openStore } from './storage.js';

/** What the control plane needs. */
export interface ControlPlaneOptions {
  readonly settings: Settings;
  /** Takes the place of the data folder. */
  readonly disk: Disk | undefined;
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
  private store: DiskStore | undefined;
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

  /** The nodes that vote, as this node knows them. */
  get voters(): readonly NodeId[] {
    return this.raft?.voters.voters.map((m) => m.id) ?? this.o.settings.voters;
  }

  /** Whether this node is a voter whose disk has failed. */
  get logFailed(): boolean {
    return this.raft?.failed ?? false;
  }

  /** Opens the durable state; the error tells what is wrong with it. */
  async open(): Promise<Result<void, string>> {
    const { settings, disk, logger } = this.o;
    const options = { settings, disk, random: systemRandom, logger: logger.part('log') };
    const opened = await openStore(options);
    if (opened.isErr()) return err(opened.error);
    this.store = opened.value;
    return ok(undefined);
  }

  /** Hands leadership to another voter, where this node leads. */
  async handOver(): Promise<void> {
    if (this.raft?.role === 'leader') await this.raft.handOver();
  }

  /** Starts to vote and to follow. */
  begin(tasks: TaskGroup, signal: AbortSignal): void {
    if (this.store) this.raft = this.createRaft(this.store);
    this.servePropose();
    this.control.start(tasks, signal);
    tasks.start(() => keepPlans(this.plannerOptions(), signal));
  }

  /** Stops voting. */
  async stop(): Promise<void> {
    await this.raft?.stop();
  }

  private createRaft(store: DiskStore): Raft {
    const { address, clock, settings, onBroken, transport, logger } = this.o;
    return Raft.create({
      self: address().id,
      initial: settings.voters,
      transport,
      store,
      machine: this.machine(),
      clock,
      random: systemRandom,
      timing: settings.timing,
      limits: defaultLimits,
      logger: logger.part('log'),
      onBroken,
    });
  }

  private machine(): Machine {
    const { clock, history } = this.o;
    return {
      apply: (index, bytes) => {
        this.control.commitTimes.note(index, clock.now());
        return encode(history.apply(index, bytes));
      },
      snapshot: () => {
        const { state } = history;
        return encode({ index: state.index, bytes: state.snapshot() });
      },
      restore: (data) => history.restore(decode<StateSnapshot>(data)),
    };
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
      if (applied.error.kind === 'overloaded') {
        return { kind: 'unavailable', reason: 'too many proposals wait' };
      }
      return { kind: 'unknown', reason: 'leadership was lost' };
    });
  }
}

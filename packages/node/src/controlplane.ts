/** The control plane of a node: it votes where it is a voter, follows, and keeps plans while it leads. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { systemRandom } from '@tanagercart/base';
import type { Clock, Logger, NodeId, TaskGroup } from '@tanagercart/base';
import { DiskStore, FileDisk, Raft, defaultLimits } from '@tanagercart/log';
import type { Disk, StateMachine, Store } from '@tanagercart/log';
import { Control } from '@tanagercart/membership';
import type { ConfigurationLease, History, NodeLoads } from '@tanagercart/membership';
import { decode, encode } from '@tanagercart/protocol';
import type { NodeAddress, StateSnapshot, Transport } from '@tanagercart/protocol';
import { maintainReplicas } from '@tanagercart/routing';
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
  /** Requests in progress on this node. */
  readonly load: () => number;
  /** Takes the place of the data folder. */
  readonly disk: Disk | undefined;
  readonly onBroken: (error: unknown) => void;
}

/** A node's part in the shared state. */
export class ControlPlane {
  private readonly control: Control;
  private raft: Raft | undefined;
  private store: Store | undefined;

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

  /** The leader as this node follows it, whether or not it votes. */
  get followed(): NodeId | undefined {
    return this.control.position.leader;
  }

  /** Whether this node leads and holds the lease of a leader. */
  get leads(): boolean {
    return this.raft?.holdsLease === true;
  }

  /** Nodes that may lead, as far as this node knows. */
  get voters(): readonly NodeId[] {
    return this.control.voters.all;
  }

  /** Loads of all nodes. */
  get loads(): NodeLoads {
    return this.control.loads;
  }

  /** The lease under which this node takes new work. */
  get lease(): ConfigurationLease {
    return this.control.lease;
  }

  /** The voters as this node knows them, and whether its disk has failed. */
  get log() {
    return { voters: this.raft?.voterConfig, failed: this.raft?.diskFailed ?? false };
  }

  /** Reads the disk of a node that has one. */
  async open(): Promise<Result<void, { readonly detail: string }>> {
    const disk = await this.openDisk();
    if (disk.isErr()) return err(disk.error);
    if (!disk.value) return ok(undefined);
    const logger = this.o.logger.part('log');
    const opened = await DiskStore.open({ disk: disk.value, random: systemRandom, logger });
    if (opened.isErr()) return err({ detail: `data folder: ${opened.error.detail}` });
    this.store = opened.value;
    return ok(undefined);
  }

  /** Hands leadership to another voter, where this node leads. */
  async handOver(): Promise<void> {
    if (this.raft?.role === 'leader') await this.raft.transferLeadership();
  }

  /** Starts to vote and to follow. */
  begin(tasks: TaskGroup, signal: AbortSignal): void {
    const { id } = this.o.address();
    if (this.store) this.raft = this.createRaft(id, this.store);
    this.servePropose();
    this.control.start(tasks, signal);
    tasks.start(() => maintainReplicas(this.plannerOptions(), signal));
  }

  /** Stops voting. */
  async stop(): Promise<void> {
    const { raft } = this;
    // A proposal that came after this would wait for ever.
    this.raft = undefined;
    await raft?.stop();
  }

  private async openDisk(): Promise<Result<Disk | undefined, { readonly detail: string }>> {
    const { disk, settings } = this.o;
    const { data, id } = settings.node;
    if (disk) return ok(disk);
    if (data) {
      const opened = await FileDisk.create(data);
      return opened.mapErr((e) => ({ detail: `data folder: ${e.file}: ${e.detail}` }));
    }
    if (!settings.voters.includes(id)) return ok(undefined);
    return err({ detail: `node.data: ${id} is a voter, and a voter needs a data folder` });
  }

  private createRaft(self: NodeId, store: Store): Raft {
    const { clock, settings, onBroken, transport, logger } = this.o;
    return Raft.create({
      self,
      initialVoters: settings.voters,
      transport,
      store,
      stateMachine: this.machine(),
      limits: defaultLimits,
      clock,
      random: systemRandom,
      timing: settings.timing,
      logger: logger.part('log'),
      onBroken,
    });
  }

  private machine(): StateMachine {
    const { clock, history } = this.o;
    return {
      apply: (index, bytes) => {
        this.control.commitTimes.record(index, clock.now());
        return encode(history.apply(index, bytes));
      },
      snapshot: () => encode({ index: history.state.index, bytes: history.state.snapshot() }),
      restore: (data) => history.restore(decode<StateSnapshot>(data)),
    };
  }

  private createControl(): Control {
    const { address, settings, logger, ...shared } = this.o;
    return Control.create({
      ...shared,
      self: address,
      leadership: { isLeader: () => this.leads, leader: () => this.leader },
      timing: settings.timing,
      logger: logger.part('control'),
      seeds: () => settings.voters,
      ownVoters: () => this.raft?.voterConfig.voters.map((v) => v.id),
    });
  }

  private plannerOptions() {
    const { history, proposer, clock, logger } = this.o;
    return {
      state: history.state,
      proposer,
      clock,
      logger: logger.part('planner'),
      isLeader: () => this.leads,
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

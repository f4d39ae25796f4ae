/**
 * The control plane of a node. A voter replicates the log with Raft, every node follows the shared
 * state under a configuration lease, and the leader runs the planner.
 */

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

/** Dependencies of the control plane. */
export interface ControlPlaneOptions {
  readonly settings: Settings;
  /** Current addresses of this node; the ports are final once its listeners are open. */
  readonly address: () => NodeAddress;
  /** Identifies this run of the process. */
  readonly incarnation: string;
  readonly transport: Transport;
  readonly history: History;
  readonly proposer: Proposer;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Whether this node is draining, which it reports to the leader. */
  readonly draining: () => boolean;
  /** Number of requests in progress on this node. */
  readonly load: () => number;
  /** Replaces the data folder of the settings, if defined. */
  readonly disk: Disk | undefined;
  /** Called with the error when an invariant is violated. */
  readonly onBroken: (error: unknown) => void;
}

/** Replicates, follows and plans the shared state on one node. */
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

  /** The leader as the log of this node reports it; undefined on a node without a log. */
  get leader(): NodeId | undefined {
    return this.raft?.leader;
  }

  /** The leader whose state this node follows, on voters and other nodes alike. */
  get followedLeader(): NodeId | undefined {
    return this.control.position.leader;
  }

  /** Whether this node is the leader and holds the leader lease. */
  get isLeader(): boolean {
    return this.raft?.holdsLease === true;
  }

  /** The voters that this node knows of, any of which may become the leader. */
  get voters(): readonly NodeId[] {
    return this.control.voters.all;
  }

  /** Loads that the nodes report. */
  get loads(): NodeLoads {
    return this.control.loads;
  }

  /** The configuration lease, without which this node accepts no new work. */
  get lease(): ConfigurationLease {
    return this.control.lease;
  }

  /** The voter configuration of this node's log, if it has one, and whether its disk failed. */
  get logStatus() {
    return { voters: this.raft?.voterConfig, failed: this.raft?.diskFailed ?? false };
  }

  /** Opens the store of the log, on nodes that have a disk. */
  async openStore(): Promise<Result<void, { readonly detail: string }>> {
    const disk = await this.openDisk();
    if (disk.isErr()) return err(disk.error);
    if (!disk.value) return ok(undefined);
    const logger = this.o.logger.part('log');
    const opened = await DiskStore.open({ disk: disk.value, random: systemRandom, logger });
    if (opened.isErr()) return err({ detail: `data folder: ${opened.error.detail}` });
    this.store = opened.value;
    return ok(undefined);
  }

  /** Transfers the leadership to another voter if this node is the leader. */
  async transferLeadership(): Promise<void> {
    if (this.raft?.role === 'leader') await this.raft.transfer();
  }

  /** Starts the log, where there is a store, and the tasks of the control plane. */
  start(tasks: TaskGroup, signal: AbortSignal): void {
    const { id } = this.o.address();
    if (this.store) this.raft = this.createRaft(id, this.store);
    this.servePropose();
    this.control.start(tasks, signal);
    tasks.start(() => maintainReplicas(this.plannerOptions(), signal));
  }

  /** Stops the log on this node. */
  async stop(): Promise<void> {
    const { raft } = this;
    // A proposal that reached a stopped log would never complete; `propose` now rejects it instead.
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
      stateMachine: this.createStateMachine(),
      limits: defaultLimits,
      clock,
      random: systemRandom,
      timing: settings.timing,
      logger: logger.part('log'),
      onBroken,
    });
  }

  private createStateMachine(): StateMachine {
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
      leadership: { isLeader: () => this.isLeader, leader: () => this.leader },
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
      isLeader: () => this.isLeader,
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

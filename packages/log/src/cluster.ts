/** Simulation of a Raft cluster in one process, with virtual time, network and disks. */

import { HeldClock, SeededRandom, invariant, silentLogger } from '@tanagercart/base';
import type { Logger, Millis, NodeId } from '@tanagercart/base';
import { MemoryNetwork, decode, encode } from '@tanagercart/protocol';
import { DiskStore } from './diskstore.js';
import { MemoryDisk } from './memorydisk.js';
import type { Backup } from './memorydisk.js';
import { defaultLimits, defaultTiming } from './options.js';
import type { Limits, StateMachine } from './options.js';
import { Raft } from './raft.js';

/** Options of `LogCluster.create`. */
export interface LogClusterOptions {
  /** Seed of all random choices. */
  readonly seed: number;
  /** All nodes; each of them has a disk. */
  readonly nodes: readonly NodeId[];
  /** The first voters; one of them forms the log. */
  readonly initialVoters: readonly NodeId[];
  /** Which of them have to be there; a node with a replaced disk gets their list again. */
  readonly formsBy?: 'all' | 'quorum';
  readonly limits?: Partial<Limits>;
  /** Duration of one sync; 0 by default. */
  readonly syncMs?: Millis;
  readonly segmentBytes?: number;
  readonly logger?: Logger;
}

/** A command that was acknowledged to its proposer, and its index in the log. */
export interface AcknowledgedCommand {
  readonly index: number;
  readonly command: string;
}

/** One node: its disk and, while it runs, its process. */
interface SimulatedNode {
  disk: MemoryDisk;
  raft: Raft | undefined;
  /** Error of the last attempt to start the process. */
  startError: string | undefined;
  /** Commands that the process has applied, by index. */
  commands: Map<number, string>;
  /** Increases with each start and stop, so that an outdated start is abandoned. */
  generation: number;
  /** The generation whose process is reading its disk. */
  startingGeneration: number | undefined;
}

/** A simulated cluster with fault injection. It checks Raft's invariants as time advances. */
export class LogCluster {
  readonly clock = HeldClock.create();
  readonly random: SeededRandom;
  readonly network: MemoryNetwork;
  /** Commands that any node has applied, by index. */
  readonly applied = new Map<number, string>();
  /** All commands that were acknowledged to a proposer. */
  readonly acknowledged: AcknowledgedCommand[] = [];
  /** The first error thrown by a node, such as a broken invariant. */
  failure: unknown;
  private readonly nodes = new Map<NodeId, SimulatedNode>();
  private readonly leaderByTerm = new Map<number, NodeId>();

  private constructor(private readonly o: LogClusterOptions) {
    this.random = SeededRandom.create(o.seed);
    this.network = MemoryNetwork.create(this.clock, this.random);
    for (const id of o.nodes) {
      const disk = MemoryDisk.create(this.clock, o.syncMs ?? 0);
      this.nodes.set(id, {
        disk,
        raft: undefined,
        startError: undefined,
        commands: new Map(),
        generation: 0,
        startingGeneration: undefined,
      });
    }
  }

  /** Creates the nodes without starting them. */
  static create(options: LogClusterOptions): LogCluster {
    return new LogCluster(options);
  }

  /** Starts all nodes that are not running. */
  async startAll(): Promise<void> {
    for (const id of this.o.nodes) void this.start(id);
    await this.advance(1);
  }

  /** Starts the process of a node; resolves once it has read its disk. */
  async start(id: NodeId): Promise<void> {
    const node = this.nodeOf(id);
    if (node.raft || node.startingGeneration === node.generation) return;
    node.generation += 1;
    const { generation } = node;
    node.startingGeneration = generation;
    const logger = this.o.logger ?? silentLogger;
    const { disk } = node;
    const segment = this.o.segmentBytes ? { segmentBytes: this.o.segmentBytes } : {};
    const store = await DiskStore.open({ disk, random: this.random, logger, ...segment });
    if (node.generation !== generation) return;
    node.startingGeneration = undefined;
    node.startError = store.isErr() ? store.error.detail : undefined;
    if (store.isErr()) return;
    node.commands = new Map();
    node.raft = Raft.create({
      self: id,
      initialVoters: this.o.initialVoters,
      formsBy: this.o.formsBy ?? 'all',
      transport: this.network.attach(id),
      store: store.value,
      stateMachine: this.createStateMachine(node),
      clock: this.clock,
      random: this.random,
      timing: defaultTiming,
      limits: { ...defaultLimits, ...this.o.limits },
      logger,
      onBroken: (e) => this.recordFailure(e),
    });
  }

  /** Cuts the power of a node: its process ends, and changes that were not synced are lost. */
  crash(id: NodeId): void {
    this.stopProcess(id);
    this.nodeOf(id).disk = this.nodeOf(id).disk.crash(this.random);
  }

  /** Kills the process of a node and replaces the content of its disk; by default it is empty. */
  replaceDisk(id: NodeId, copy: Backup = new Map()): void {
    this.stopProcess(id);
    this.nodeOf(id).disk = this.nodeOf(id).disk.restore(copy);
  }

  /** The disk of a node. */
  diskOf(id: NodeId): MemoryDisk {
    return this.nodeOf(id).disk;
  }

  /** The process of a node; undefined while it is not running. */
  raftOf(id: NodeId): Raft | undefined {
    return this.nodeOf(id).raft;
  }

  /** Error of the last attempt to start a node; undefined if it started. */
  startErrorOf(id: NodeId): string | undefined {
    return this.nodeOf(id).startError;
  }

  /** The commands that a node has applied, in log order. */
  stateOf(id: NodeId): readonly string[] {
    return [...this.nodeOf(id).commands.values()];
  }

  /** The nodes that are running. */
  get running(): readonly NodeId[] {
    return this.o.nodes.filter((n) => this.nodeOf(n).raft !== undefined);
  }

  /** The leader that holds a lease. */
  get leaseHolder(): NodeId | undefined {
    return this.running.find((n) => this.nodeOf(n).raft!.holdsLease);
  }

  /** Proposes a command on a node; resolves to whether it was acknowledged. */
  async propose(id: NodeId, command: string): Promise<boolean> {
    const done = await this.nodeOf(id).raft?.propose(Buffer.from(command));
    if (!done?.isOk()) return false;
    this.acknowledged.push({ index: done.value.index, command });
    return true;
  }

  /** Cuts all links between `group` and the other nodes, in both directions. */
  partition(group: readonly NodeId[]): void {
    for (const a of group) {
      for (const b of this.o.nodes.filter((n) => !group.includes(n))) {
        this.network.cut(a, b);
        this.network.cut(b, a);
      }
    }
  }

  /** Advances the virtual time by `ms` and checks the invariants at intervals. */
  async advance(ms: Millis): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      await this.clock.advance(Math.min(checkIntervalMs, end - this.clock.now()));
      this.checkInvariants();
    }
  }

  /** Advances the time until `done` holds; resolves to the time taken, undefined after `ms`. */
  async advanceUntil(done: () => boolean, ms: Millis): Promise<Millis | undefined> {
    const from = this.clock.now();
    while (!done()) {
      if (this.clock.now() >= from + ms) return undefined;
      await this.advance(1);
    }
    return this.clock.now() - from;
  }

  /** Throws if an invariant is broken or a node has failed. */
  checkInvariants(): void {
    if (this.failure) throw this.failure as Error;
    const lastAppliedIndex = Math.max(0, ...this.applied.keys());
    const latestTerm = Math.max(0, ...this.leaderByTerm.keys());
    for (const id of this.running) {
      const raft = this.nodeOf(id).raft!;
      if (raft.role !== 'leader') continue;
      const knownLeader = this.leaderByTerm.get(raft.term);
      invariant(knownLeader === undefined || knownLeader === id, 'a term has one leader');
      if (knownLeader === undefined && raft.term > latestTerm) {
        invariant(raft.lastIndex >= lastAppliedIndex, 'a leader holds every committed entry');
      }
      this.leaderByTerm.set(raft.term, id);
    }
    const holders = this.running.filter((n) => this.nodeOf(n).raft!.holdsLease);
    invariant(holders.length <= 1, 'at most one voter holds the lease');
    for (const { index, command } of this.acknowledged) {
      invariant(this.applied.get(index) === command, 'an acknowledged command survives');
    }
  }

  private createStateMachine(node: SimulatedNode): StateMachine {
    const { commands } = node;
    return {
      apply: (index, bytes) => {
        const command = Buffer.from(bytes).toString();
        const knownCommand = this.applied.get(index);
        invariant(
          knownCommand === undefined || knownCommand === command,
          'all state machines apply the same command at an index',
        );
        this.applied.set(index, command);
        commands.set(index, command);
        return bytes;
      },
      snapshot: () => encode([...commands]),
      restore: (data) => {
        commands.clear();
        for (const [index, command] of decode<[number, string][]>(data)) {
          invariant(this.applied.get(index) === command, 'a snapshot holds what was applied');
          commands.set(index, command);
        }
      },
    };
  }

  private stopProcess(id: NodeId): void {
    const node = this.nodeOf(id);
    node.generation += 1;
    this.network.detach(id);
    node.raft?.stop().catch((e: unknown) => this.recordFailure(e));
    node.raft = undefined;
  }

  private recordFailure(error: unknown): void {
    this.failure ??= error;
  }

  private nodeOf(id: NodeId): SimulatedNode {
    return this.nodes.get(id)!;
  }
}

/** Interval of invariant checks, in milliseconds. */
const checkIntervalMs = 10;

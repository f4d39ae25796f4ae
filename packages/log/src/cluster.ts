/** Many voters in one process with held time, network and disks, for tests and measurements. */

import { HeldClock, SeededRandom, invariant, silentLogger } from '@tanagercart/base';
import type { Logger, Millis, NodeId } from '@tanagercart/base';
import { MemoryNetwork, decode, encode } from '@tanagercart/protocol';
import { DiskStore } from './diskstore.js';
import { MemoryDisk } from './memorydisk.js';
import type { Backup } from './memorydisk.js';
import { defaultLimits, defaultTiming } from './options.js';
import type { Limits, StateMachine } from './options.js';
import { Raft } from './raft.js';

/** What a cluster is made of. */
export interface LogClusterOptions {
  readonly seed: number;
  /** Every node that has a disk. */
  readonly nodes: readonly NodeId[];
  /** The nodes that form the log. */
  readonly initialVoters: readonly NodeId[];
  readonly limits?: Partial<Limits>;
  readonly syncMs?: Millis;
  readonly segmentBytes?: number;
  readonly logger?: Logger;
}

/** A command that was acknowledged to its proposer. */
export interface AcknowledgedCommand {
  readonly index: number;
  readonly command: string;
}

/** One node: its disk, and its process where it runs. */
interface Instance {
  disk: MemoryDisk;
  raft: Raft | undefined;
  /** Why the process did not start. */
  refused: string | undefined;
  /** Commands applied by the process, by their index. */
  state: Map<number, string>;
  lives: number;
  /** The life whose process is reading its disk. */
  starting: number | undefined;
}

/** A replicated log whose every fault is at hand; checks its invariants as it goes. */
export class LogCluster {
  readonly clock = HeldClock.create();
  readonly random: SeededRandom;
  readonly network: MemoryNetwork;
  /** What was applied anywhere, by index. */
  readonly applied = new Map<number, string>();
  readonly acknowledged: AcknowledgedCommand[] = [];
  /** The first broken invariant. */
  failure: unknown;
  private readonly instances = new Map<NodeId, Instance>();
  private readonly leaders = new Map<number, NodeId>();

  private constructor(private readonly o: LogClusterOptions) {
    this.random = SeededRandom.create(o.seed);
    this.network = MemoryNetwork.create(this.clock, this.random);
    for (const id of o.nodes) {
      const disk = MemoryDisk.create(this.clock, o.syncMs ?? 0);
      this.instances.set(id, {
        disk,
        raft: undefined,
        refused: undefined,
        state: new Map(),
        lives: 0,
        starting: undefined,
      });
    }
  }

  /** Creates the nodes; none of them runs yet. */
  static create(options: LogClusterOptions): LogCluster {
    return new LogCluster(options);
  }

  /** Starts every node that does not run. */
  async startAll(): Promise<void> {
    for (const id of this.o.nodes) void this.start(id);
    await this.advance(1);
  }

  /** Starts the process of a node; it runs as soon as it has read its disk. */
  async start(id: NodeId): Promise<void> {
    const it = this.at(id);
    if (it.raft || it.starting === it.lives) return;
    it.lives += 1;
    const { lives } = it;
    it.starting = lives;
    const logger = this.o.logger ?? silentLogger;
    const { disk } = it;
    const segment = this.o.segmentBytes ? { segmentBytes: this.o.segmentBytes } : {};
    const store = await DiskStore.open({ disk, random: this.random, logger, ...segment });
    if (it.lives !== lives) return;
    it.starting = undefined;
    it.refused = store.isErr() ? store.error.detail : undefined;
    if (store.isErr()) return;
    it.state = new Map();
    it.raft = Raft.create({
      self: id,
      initialVoters: this.o.initialVoters,
      transport: this.network.attach(id),
      store: store.value,
      stateMachine: this.machineOf(it),
      clock: this.clock,
      random: this.random,
      timing: defaultTiming,
      limits: { ...defaultLimits, ...this.o.limits },
      logger,
      onBroken: (e) => this.fail(e),
    });
  }

  /** Kills the process of a node: what its disk had not synced is lost. */
  crash(id: NodeId): void {
    this.kill(id);
    this.at(id).disk = this.at(id).disk.crash(this.random);
  }

  /** Kills the process of a node and puts a copy in place of its disk; an empty one by default. */
  replaceDisk(id: NodeId, copy: Backup = new Map()): void {
    this.kill(id);
    this.at(id).disk = this.at(id).disk.restore(copy);
  }

  /** The disk of a node. */
  diskOf(id: NodeId): MemoryDisk {
    return this.at(id).disk;
  }

  /** The process of a node, where it runs. */
  raftOf(id: NodeId): Raft | undefined {
    return this.at(id).raft;
  }

  /** Why a node did not start. */
  startErrorOf(id: NodeId): string | undefined {
    return this.at(id).refused;
  }

  /** The commands that a node has applied, in order. */
  stateOf(id: NodeId): readonly string[] {
    return [...this.at(id).state.values()];
  }

  /** Names of the nodes that run. */
  get running(): readonly NodeId[] {
    return this.o.nodes.filter((n) => this.at(n).raft !== undefined);
  }

  /** The node that leads with a lease. */
  get leader(): NodeId | undefined {
    return this.running.find((n) => this.at(n).raft!.holdsLease);
  }

  /** Proposes a command at a node; it joins the acknowledged ones once it is applied. */
  async propose(id: NodeId, command: string): Promise<boolean> {
    const done = await this.at(id).raft?.propose(Buffer.from(command));
    if (!done?.isOk()) return false;
    this.acknowledged.push({ index: done.value.index, command });
    return true;
  }

  /** Cuts every link between the two groups, both ways. */
  partition(group: readonly NodeId[]): void {
    for (const a of group) {
      for (const b of this.o.nodes.filter((n) => !group.includes(n))) {
        this.network.cut(a, b);
        this.network.cut(b, a);
      }
    }
  }

  /** Lets time go by, checking the invariants every few milliseconds. */
  async advance(ms: Millis): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      await this.clock.advance(Math.min(lookMs, end - this.clock.now()));
      this.checkInvariants();
    }
  }

  /** Lets time go by until `done` holds, for `ms` at most; the time that it took. */
  async advanceUntil(done: () => boolean, ms: Millis): Promise<Millis | undefined> {
    const from = this.clock.now();
    while (!done()) {
      if (this.clock.now() >= from + ms) return undefined;
      await this.advance(1);
    }
    return this.clock.now() - from;
  }

  /** Checks what must always hold. */
  checkInvariants(): void {
    if (this.failure) throw this.failure as Error;
    const last = Math.max(0, ...this.applied.keys());
    const newest = Math.max(0, ...this.leaders.keys());
    for (const id of this.running) {
      const raft = this.at(id).raft!;
      if (raft.role !== 'leader') continue;
      const known = this.leaders.get(raft.term);
      invariant(known === undefined || known === id, 'a term has one leader');
      if (known === undefined && raft.term > newest) {
        invariant(raft.lastIndex >= last, 'a leader holds every committed entry');
      }
      this.leaders.set(raft.term, id);
    }
    const holders = this.running.filter((n) => this.at(n).raft!.holdsLease);
    invariant(holders.length <= 1, 'one voter holds the lease');
    for (const { index, command } of this.acknowledged) {
      invariant(this.applied.get(index) === command, 'an acknowledged command survives');
    }
  }

  private machineOf(it: Instance): StateMachine {
    const { state } = it;
    return {
      apply: (index, bytes) => {
        const command = Buffer.from(bytes).toString();
        const known = this.applied.get(index);
        invariant(known === undefined || known === command, 'state machines apply the same');
        this.applied.set(index, command);
        state.set(index, command);
        return bytes;
      },
      snapshot: () => encode([...state]),
      restore: (data) => {
        state.clear();
        for (const [index, command] of decode<[number, string][]>(data)) {
          invariant(this.applied.get(index) === command, 'a snapshot holds what was applied');
          state.set(index, command);
        }
      },
    };
  }

  private kill(id: NodeId): void {
    const it = this.at(id);
    it.lives += 1;
    this.network.detach(id);
    it.raft?.stop().catch((e: unknown) => this.fail(e));
    it.raft = undefined;
  }

  private fail(error: unknown): void {
    this.failure ??= error;
  }

  private at(id: NodeId): Instance {
    return this.instances.get(id)!;
  }
}

/** Time between two checks, in milliseconds. */
const lookMs = 10;

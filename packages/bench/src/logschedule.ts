/** Random schedules of faults for the replicated log, and their execution. */

import fc from 'fast-check';
import { NodeId, invariant } from '@tanagercart/base';
import { LogCluster } from '@tanagercart/log';
import type { Backup } from '@tanagercart/log';

/** Nodes of a schedule; the first three are the initial voters. */
const nodes = ['a', 'b', 'c', 'd', 'e'].map(NodeId);
const initialVoters = nodes.slice(0, 3);

/** Maximum number of steps of a schedule. */
const maxSteps = 40;

/** Virtual time within which a repaired cluster must serve again, in milliseconds. */
const recoveryMs = 20_000;

/** One step of a schedule; `at` and `to` are indices of nodes. Failed runs print steps as JSON. */
export type Step =
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'propose'; readonly at: number; readonly count: number }
  /** Proposes the last command again, as a caller does that lost the answer. */
  | { readonly kind: 'repeat'; readonly at: number }
  | { readonly kind: 'crash'; readonly at: number }
  | { readonly kind: 'crash-all' }
  | { readonly kind: 'start'; readonly at: number }
  | { readonly kind: 'cut'; readonly at: number; readonly to: number }
  | { readonly kind: 'partition'; readonly at: number; readonly to: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'links'; readonly jitterMs: number; readonly loss: number }
  | { readonly kind: 'disk'; readonly at: number; readonly fault: 'none' | 'full' | 'failing' }
  /** Copies a disk; `old-disk` restores the copy. */
  | { readonly kind: 'copy'; readonly at: number }
  | { readonly kind: 'empty-disk'; readonly at: number }
  | { readonly kind: 'old-disk'; readonly at: number }
  | { readonly kind: 'change'; readonly action: 'add' | 'remove'; readonly at: number }
  | { readonly kind: 'hand-over' };

const anyNode = fc.nat(nodes.length - 1);

const anyStep: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({ kind: fc.constant('wait'), ms: fc.integer({ min: 1, max: 900 }) }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('propose'),
      at: anyNode,
      count: fc.integer({ min: 1, max: 12 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('repeat'), at: anyNode }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('crash'), at: anyNode }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash-all') }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('start'), at: anyNode }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cut'), at: anyNode, to: anyNode }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('partition'), at: anyNode, to: anyNode }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('heal') }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('links'),
      jitterMs: fc.constantFrom(0, 5, 50, 200),
      loss: fc.constantFrom(0, 0.05, 0.3),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('disk'),
      at: anyNode,
      fault: fc.constantFrom('none', 'full', 'failing'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('copy'), at: anyNode }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('empty-disk'), at: anyNode }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('old-disk'), at: anyNode }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('change'),
      action: fc.constantFrom('add', 'remove'),
      at: anyNode,
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('hand-over') }) },
);

/** A schedule: the steps, and the seed of the network and disks. */
export interface Schedule {
  readonly seed: number;
  readonly steps: readonly Step[];
}

/** Generates schedules. */
export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.nat(),
  steps: fc.array(anyStep, { minLength: 5, maxLength: maxSteps, size: 'max' }),
});

/** What happened in one run. */
export interface Outcome {
  readonly acknowledged: number;
  readonly lostDisks: number;
  readonly changes: number;
}

/** Runs one schedule. Throws if an invariant is violated or the cluster does not recover. */
export async function runSchedule(schedule: Schedule): Promise<Outcome> {
  const run = ScheduleRun.create(schedule.seed);
  await run.start();
  for (const step of schedule.steps) await run.runStep(step);
  return run.repairAndCheck();
}

/** The execution of a schedule. */
class ScheduleRun {
  private readonly cluster: LogCluster;
  private readonly diskCopies = new Map<NodeId, Backup>();
  private proposedCount = 0;
  private pendingChanges = 0;
  private completedChanges = 0;
  private lostDisks = 0;

  private constructor(seed: number) {
    this.cluster = LogCluster.create({
      seed,
      nodes,
      initialVoters,
      syncMs: 2,
      segmentBytes: 600,
      limits: { snapshotEveryBytes: 1500, chunkBytes: 200, batchEntries: 8 },
    });
  }

  static create(seed: number): ScheduleRun {
    return new ScheduleRun(seed);
  }

  async start(): Promise<void> {
    await this.cluster.startAll();
    await this.cluster.advance(1500);
  }

  async runStep(step: Step): Promise<void> {
    const { cluster } = this;
    switch (step.kind) {
      case 'wait':
        return cluster.advance(step.ms);
      case 'propose':
        for (let i = 0; i < step.count; i += 1) this.propose(step.at, true);
        return cluster.advance(1);
      case 'repeat':
        this.propose(step.at, false);
        return cluster.advance(1);
      case 'crash':
        cluster.crash(nodes[step.at]!);
        return cluster.advance(1);
      case 'crash-all':
        for (const id of nodes) cluster.crash(id);
        return cluster.startAll();
      case 'start':
        void cluster.start(nodes[step.at]!);
        return cluster.advance(20);
      case 'cut':
        return cluster.network.cut(nodes[step.at]!, nodes[step.to]!);
      case 'partition':
        return cluster.partition([nodes[step.at]!, nodes[step.to]!]);
      case 'heal':
        return cluster.network.heal();
      case 'links':
        return cluster.network.setQuality({
          delayMs: 0.5,
          jitterMs: step.jitterMs,
          loss: step.loss,
        });
      case 'disk':
        cluster.diskOf(nodes[step.at]!).fault = step.fault;
        return undefined;
      case 'copy':
        this.diskCopies.set(nodes[step.at]!, cluster.diskOf(nodes[step.at]!).backup());
        return undefined;
      case 'empty-disk':
        return this.loseDisk(nodes[step.at]!, new Map());
      case 'old-disk':
        return this.loseDisk(nodes[step.at]!, this.diskCopies.get(nodes[step.at]!));
      case 'change':
        return this.changeVoters(step.action, nodes[step.at]!);
      case 'hand-over':
        void (cluster.leaseHolder && cluster.raftOf(cluster.leaseHolder)!.transfer());
        return undefined;
      default:
        return invariant(false, 'unknown step');
    }
  }

  /** Repairs all faults, and checks that the cluster serves again and all voters agree. */
  async repairAndCheck(): Promise<Outcome> {
    const { cluster } = this;
    cluster.network.heal();
    cluster.network.setQuality({ delayMs: 0.5, jitterMs: 0, loss: 0 });
    for (const id of nodes) {
      cluster.diskOf(id).fault = 'none';
      if (cluster.raftOf(id)?.diskFailed) cluster.crash(id);
    }
    await cluster.startAll();
    await cluster.advance(50);
    for (const id of nodes) {
      invariant(cluster.startErrorOf(id) === undefined, `${id}: ${cluster.startErrorOf(id)}`);
    }
    const before = cluster.acknowledged.length;
    const recovered = await cluster.advanceUntil(() => {
      if (cluster.leaseHolder && cluster.acknowledged.length === before) {
        this.propose(nodes.indexOf(cluster.leaseHolder), true);
      }
      return cluster.acknowledged.length > before;
    }, recoveryMs);
    invariant(recovered !== undefined, 'a repaired cluster serves again');
    await cluster.advance(3000);
    this.checkStates();
    return {
      acknowledged: cluster.acknowledged.length,
      lostDisks: this.lostDisks,
      changes: this.completedChanges,
    };
  }

  /** Checks that all voters have the same state and that it contains all acknowledged commands. */
  private checkStates(): void {
    const { cluster } = this;
    invariant(cluster.leaseHolder !== undefined, 'a repaired cluster keeps its leader');
    const expected = cluster.stateOf(cluster.leaseHolder).join();
    const { voters } = cluster.raftOf(cluster.leaseHolder)!.voterConfig;
    for (const voter of voters.filter((v) => cluster.raftOf(v.id)!.diskId === v.disk)) {
      invariant(cluster.stateOf(voter.id).join() === expected, 'all voters hold the same state');
    }
    const commands = new Set(cluster.stateOf(cluster.leaseHolder));
    for (const { command } of cluster.acknowledged) {
      invariant(commands.has(command), 'an acknowledged command survives');
    }
  }

  /** Proposes a new command, or the last one again, through the leader if there is one. */
  private propose(nodeIndex: number, isNew: boolean): void {
    if (isNew) this.proposedCount += 1;
    void this.cluster.propose(
      this.cluster.leaseHolder ?? nodes[nodeIndex]!,
      `x${this.proposedCount}`,
    );
  }

  /**
   * Replaces a disk by `copy`, unless another disk is lost or the voters are changing: no second disk
   * may be lost before the first is replaced.
   */
  private loseDisk(id: NodeId, copy: Backup | undefined): Promise<void> | undefined {
    if (!copy || this.pendingChanges > 0 || !this.allDisksIntact(id)) return undefined;
    this.lostDisks += 1;
    this.cluster.replaceDisk(id, copy);
    return this.cluster.advance(1);
  }

  /** Whether all voters have the disks that they joined with, and none is being added. */
  private allDisksIntact(id: NodeId): boolean {
    const { cluster } = this;
    const { leaseHolder: leader } = cluster;
    if (!leader) return false;
    const { voters, learners } = cluster.raftOf(leader)!.voterConfig;
    const intact = voters.every(
      (voter) =>
        cluster.raftOf(voter.id)?.diskId === voter.disk && !cluster.raftOf(voter.id)!.diskFailed,
    );
    return intact && learners.length === 0 && voters.length >= 3 && id !== undefined;
  }

  private changeVoters(action: 'add' | 'remove', node: NodeId): void {
    const { leaseHolder: leader } = this.cluster;
    if (!leader) return;
    const { voters } = this.cluster.raftOf(leader)!.voterConfig;
    if (action === 'remove' && voters.length <= 3) return;
    this.pendingChanges += 1;
    void this.cluster
      .raftOf(leader)!
      .changeVoters({ action, node })
      .then((reply) => {
        this.pendingChanges -= 1;
        if (reply.kind === 'changed') this.completedChanges += 1;
      });
  }
}

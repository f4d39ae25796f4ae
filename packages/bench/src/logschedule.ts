/** Random schedules of faults for the replicated log, and the run of one of them. */

import fc from 'fast-check';
import { NodeId, invariant } from '@tanagercart/base';
import { LogCluster } from '@tanagercart/log';
import type { Backup } from '@tanagercart/log';

/** Nodes of a schedule; the first three form the log. */
const nodes = ['a', 'b', 'c', 'd', 'e'].map(NodeId);
const initial = nodes.slice(0, 3);

/** Steps of one schedule at most. */
const maxSteps = 40;

/** Time in which a healed cluster must serve again, in milliseconds. */
const recoveryMs = 20_000;

/** One step of a schedule; `at` chooses a node. */
export type Step =
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'propose'; readonly at: number; readonly count: number }
  /** Proposes the last command again, as a caller does whose answer was lost. */
  | { readonly kind: 'repeat'; readonly at: number }
  | { readonly kind: 'crash'; readonly at: number }
  | { readonly kind: 'crash-all' }
  | { readonly kind: 'start'; readonly at: number }
  | { readonly kind: 'cut'; readonly at: number; readonly to: number }
  | { readonly kind: 'partition'; readonly at: number; readonly to: number }
  | { readonly kind: 'heal' }
  | { readonly kind: 'links'; readonly jitterMs: number; readonly loss: number }
  | { readonly kind: 'disk'; readonly at: number; readonly fault: 'none' | 'full' | 'failing' }
  /** Takes a copy of a disk, to be put back by `old-disk`. */
  | { readonly kind: 'copy'; readonly at: number }
  | { readonly kind: 'empty-disk'; readonly at: number }
  | { readonly kind: 'old-disk'; readonly at: number }
  | { readonly kind: 'change'; readonly action: 'add' | 'remove'; readonly at: number }
  | { readonly kind: 'hand-over' };

const at = fc.nat(nodes.length - 1);

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 12,
    arbitrary: fc.record({ kind: fc.constant('wait'), ms: fc.integer({ min: 1, max: 900 }) }),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('propose'),
      at,
      count: fc.integer({ min: 1, max: 12 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('repeat'), at }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('crash'), at }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash-all') }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('start'), at }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cut'), at, to: at }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('partition'), at, to: at }) },
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
      at,
      fault: fc.constantFrom('none', 'full', 'failing'),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('copy'), at }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('empty-disk'), at }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('old-disk'), at }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('change'),
      action: fc.constantFrom('add', 'remove'),
      at,
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('hand-over') }) },
);

/** A schedule: the seed of network and disks, and the steps. */
export interface Schedule {
  readonly seed: number;
  readonly steps: readonly Step[];
}

/** Any schedule. */
export const schedules: fc.Arbitrary<Schedule> = fc.record({
  seed: fc.nat(),
  steps: fc.array(step, { minLength: 5, maxLength: maxSteps, size: 'max' }),
});

/** What one run has come through. */
export interface Outcome {
  readonly acknowledged: number;
  readonly lostDisks: number;
  readonly changes: number;
}

/** Runs one schedule; throws where an invariant is broken or the cluster does not recover. */
export async function runSchedule(schedule: Schedule): Promise<Outcome> {
  const run = Run.create(schedule.seed);
  await run.begin();
  for (const s of schedule.steps) await run.step(s);
  return run.finish();
}

/** One run of a schedule. */
class Run {
  private readonly cluster: LogCluster;
  private readonly copies = new Map<NodeId, Backup>();
  private proposed = 0;
  private changing = 0;
  private changes = 0;
  private lostDisks = 0;

  private constructor(seed: number) {
    this.cluster = LogCluster.create({
      seed,
      nodes,
      initialVoters: initial,
      syncMs: 2,
      segmentBytes: 600,
      limits: { snapshotEveryBytes: 1500, chunkBytes: 200, batchEntries: 8 },
    });
  }

  static create(seed: number): Run {
    return new Run(seed);
  }

  async begin(): Promise<void> {
    await this.cluster.startAll();
    await this.cluster.advance(1500);
  }

  async step(s: Step): Promise<void> {
    const { cluster } = this;
    switch (s.kind) {
      case 'wait':
        return cluster.advance(s.ms);
      case 'propose':
        for (let i = 0; i < s.count; i += 1) this.propose(s.at, true);
        return cluster.advance(1);
      case 'repeat':
        this.propose(s.at, false);
        return cluster.advance(1);
      case 'crash':
        cluster.crash(nodes[s.at]!);
        return cluster.advance(1);
      case 'crash-all':
        for (const id of nodes) cluster.crash(id);
        return cluster.startAll();
      case 'start':
        void cluster.start(nodes[s.at]!);
        return cluster.advance(20);
      case 'cut':
        return cluster.network.cut(nodes[s.at]!, nodes[s.to]!);
      case 'partition':
        return cluster.partition([nodes[s.at]!, nodes[s.to]!]);
      case 'heal':
        return cluster.network.heal();
      case 'links':
        return cluster.network.setQuality({ delayMs: 0.5, jitterMs: s.jitterMs, loss: s.loss });
      case 'disk':
        cluster.diskOf(nodes[s.at]!).fault = s.fault;
        return undefined;
      case 'copy':
        this.copies.set(nodes[s.at]!, cluster.diskOf(nodes[s.at]!).backup());
        return undefined;
      case 'empty-disk':
        return this.loseDisk(nodes[s.at]!, new Map());
      case 'old-disk':
        return this.loseDisk(nodes[s.at]!, this.copies.get(nodes[s.at]!));
      case 'change':
        return this.change(s.action, nodes[s.at]!);
      case 'hand-over':
        void (cluster.leaseHolder && cluster.raftOf(cluster.leaseHolder)!.transferLeadership());
        return undefined;
      default:
        return invariant(false, 'unknown step');
    }
  }

  /** Repairs everything; the cluster must serve again, and all its members agree. */
  async finish(): Promise<Outcome> {
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
    const served = await cluster.advanceUntil(() => {
      if (cluster.leaseHolder && cluster.acknowledged.length === before) {
        this.propose(nodes.indexOf(cluster.leaseHolder), true);
      }
      return cluster.acknowledged.length > before;
    }, recoveryMs);
    invariant(served !== undefined, 'a repaired cluster serves again');
    await cluster.advance(3000);
    this.checkEqual();
    return {
      acknowledged: cluster.acknowledged.length,
      lostDisks: this.lostDisks,
      changes: this.changes,
    };
  }

  private checkEqual(): void {
    const { cluster } = this;
    invariant(cluster.leaseHolder !== undefined, 'a repaired cluster keeps its leader');
    const expected = cluster.stateOf(cluster.leaseHolder).join();
    const { voters } = cluster.raftOf(cluster.leaseHolder)!.voterConfig;
    for (const m of voters.filter((v) => cluster.raftOf(v.id)!.diskId === v.disk)) {
      invariant(cluster.stateOf(m.id).join() === expected, 'all voters hold the same state');
    }
    const states = new Set(cluster.stateOf(cluster.leaseHolder));
    for (const { command } of cluster.acknowledged) {
      invariant(states.has(command), 'an acknowledged command survives');
    }
  }

  private propose(where: number, fresh: boolean): void {
    if (fresh) this.proposed += 1;
    void this.cluster.propose(this.cluster.leaseHolder ?? nodes[where]!, `x${this.proposed}`);
  }

  /** Loses a disk where the others can bear it: no second one before the first is replaced. */
  private loseDisk(id: NodeId, copy: Backup | undefined): Promise<void> | undefined {
    if (!copy || this.changing > 0 || !this.allDisksIntact(id)) return undefined;
    this.lostDisks += 1;
    this.cluster.replaceDisk(id, copy);
    return this.cluster.advance(1);
  }

  private allDisksIntact(id: NodeId): boolean {
    const { cluster } = this;
    const { leaseHolder: leader } = cluster;
    if (!leader) return false;
    const { voters, learners } = cluster.raftOf(leader)!.voterConfig;
    const intact = voters.every(
      (m) => cluster.raftOf(m.id)?.diskId === m.disk && !cluster.raftOf(m.id)!.diskFailed,
    );
    return intact && learners.length === 0 && voters.length >= 3 && id !== undefined;
  }

  private change(action: 'add' | 'remove', node: NodeId): void {
    const { leaseHolder: leader } = this.cluster;
    if (!leader) return;
    const { voters } = this.cluster.raftOf(leader)!.voterConfig;
    if (action === 'remove' && voters.length <= 3) return;
    this.changing += 1;
    void this.cluster
      .raftOf(leader)!
      .changeVoters({ action, node })
      .then((reply) => {
        this.changing -= 1;
        if (reply.kind === 'changed') this.changes += 1;
      });
  }
}

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { FleetView, Watcher } from '../src/index.js';
import { Fleet } from './fleet.js';
import { Operator, cutOff } from './operator.js';

/** More runs: `FLEET_RUNS=200 FLEET_SEED=7 node --test packages/fleet/dist/test/beliefs.test.js`. */
const numRuns = Number(process.env.FLEET_RUNS ?? 18);
const seed = Number(process.env.FLEET_SEED ?? 5);

const voters = ['a', 'b', 'c', 'd', 'e'];
const entryCount = 8;

/** One step of a schedule. `at` selects a node, a voter or an entry. */
type Step =
  | { readonly kind: 'submit' | 'kill' | 'restart-entry' | 'report'; readonly at: number }
  | { readonly kind: 'cut'; readonly at: number; readonly direction: 'both' | 'replies' }
  | { readonly kind: 'stall' | 'stall-voters'; readonly at: number; readonly to: number }
  | { readonly kind: 'clock' | 'hold-up'; readonly at: number; readonly ms: Millis }
  | { readonly kind: 'leader-clock'; readonly ms: Millis }
  | { readonly kind: 'transfer' | 'heal' | 'start' }
  | { readonly kind: 'wait'; readonly ms: Millis };

const at = fc.nat(40);
const ms = fc.integer({ min: 100, max: 6000 });
const shortMs = fc.integer({ min: 20, max: 900 });
const of = <K extends string>(...kinds: readonly K[]) => fc.constantFrom(...kinds);
const steps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.oneof(
    { weight: 5, arbitrary: fc.record({ kind: of('submit'), at }) },
    { weight: 6, arbitrary: fc.record({ kind: of('wait'), ms: shortMs }) },
    { weight: 4, arbitrary: fc.record({ kind: of('cut'), at, direction: of('both', 'replies') }) },
    { weight: 3, arbitrary: fc.record({ kind: of('stall', 'stall-voters'), at, to: at }) },
    { weight: 2, arbitrary: fc.record({ kind: of('clock', 'hold-up'), at, ms }) },
    { weight: 3, arbitrary: fc.record({ kind: of('leader-clock'), ms }) },
    { weight: 2, arbitrary: fc.record({ kind: of('kill', 'restart-entry', 'report'), at }) },
    { weight: 2, arbitrary: fc.record({ kind: of('transfer', 'heal', 'start') }) },
  ),
  { minLength: 10, maxLength: 40 },
);

/** A fleet in which what one node believes of another, and for how long, is disturbed. */
class Simulation {
  private readonly views = new Map<NodeId, FleetView>();
  private readonly watchers = new Map<NodeId, Watcher>();
  private readonly stops = new Map<NodeId, () => void>();
  private readonly down = new Set<NodeId>();
  readonly operator: Operator;

  private constructor(private readonly fleet: Fleet) {
    for (let i = 0; i < entryCount; i += 1) this.startEntry(NodeId(`entry-${i}`));
    this.operator = new Operator(fleet, this.views);
  }

  static async create(runSeed: number): Promise<Simulation> {
    const run = new Simulation(await Fleet.start(runSeed, voters, { watch: 2 }));
    await run.operator.watch(4000);
    return run;
  }

  async step(step: Step): Promise<void> {
    const { fleet, operator } = this;
    switch (step.kind) {
      case 'submit': {
        let next = step.at;
        void operator.submit(() => {
          next += 1;
          const running = [...fleet.nodes.values()];
          return running[next % running.length];
        });
        return undefined;
      }
      case 'wait':
        return operator.watch(step.ms);
      case 'cut':
        return cutOff(fleet, entryAt(step.at), step.direction);
      case 'stall':
        return this.stall(voterAt(step.at), entryAt(step.to));
      case 'stall-voters':
        return this.stall(voterAt(step.at), voterAt(step.to));
      case 'heal':
        return fleet.network.heal();
      case 'clock':
        return this.stepClock(step.at, step.ms);
      case 'leader-clock':
        return this.stepClock(this.leaderIndex, step.ms);
      case 'hold-up':
        return this.holdUp(step.at, step.ms);
      case 'kill':
        return this.kill(step.at);
      case 'start':
        return this.start();
      case 'transfer':
        return this.transfer();
      case 'report':
        void this.watchers.get(entryAt(step.at))!.report();
        return undefined;
      case 'restart-entry':
        return this.startEntry(entryAt(step.at));
      default:
        return step;
    }
  }

  /** Delays what one node sends to the other, until links heal. */
  private stall(from: NodeId, to: NodeId): void {
    if (from !== to) this.fleet.network.stall(from, to);
  }

  private startEntry(id: NodeId): void {
    this.stops.get(id)?.();
    const { view, watcher, stop } = this.fleet.startEntry(id);
    this.views.set(id, view);
    this.watchers.set(id, watcher);
    this.stops.set(id, stop);
  }

  private get leaderIndex(): number {
    return Math.max(
      0,
      [...this.fleet.nodes.values()].findIndex((n) => n.isLeader),
    );
  }

  private stepClock(index: number, aheadMs: Millis): void {
    const nodes = [...this.fleet.nodes.keys(), ...this.views.keys()];
    const { wallAheadMs } = this.fleet;
    const id = nodes[index % nodes.length]!;
    wallAheadMs.set(id, (wallAheadMs.get(id) ?? 0) + aheadMs);
  }

  private holdUp(index: number, forMs: Millis): void {
    const ids = [...this.fleet.nodes.keys()];
    void this.fleet.processors.get(ids[index % ids.length]!)?.work(forMs);
  }

  private kill(index: number): void {
    if (this.down.size >= 2) return;
    const ids = [...this.fleet.nodes.keys()];
    const id = ids[index % ids.length]!;
    this.fleet.kill(id);
    this.down.add(id);
  }

  private start(): void {
    for (const id of this.down) this.fleet.startNode(id);
    this.down.clear();
  }

  private transfer(): void {
    const found = [...this.fleet.nodes].find(([, n]) => n.isLeader);
    if (!found || this.down.size >= 2) return;
    const [id, node] = found;
    this.fleet.nodes.delete(id);
    this.down.add(id);
    void node.stop().then(() => this.fleet.network.detach(id));
  }
}

function voterAt(index: number): NodeId {
  return NodeId(voters[index % voters.length]!);
}

function entryAt(index: number): NodeId {
  return NodeId(`entry-${index % entryCount}`);
}

test('no entry answers by a document that was replaced, whatever happens to clocks, calls and leaders', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(10_000), steps, async (runSeed, schedule) => {
      const run = await Simulation.create(runSeed);
      for (const step of schedule) await run.step(step);
      await run.operator.watch(5000);
      assert.deepEqual(run.operator.outdated.slice(0, 3), []);
    }),
    { seed, numRuns, endOnFailure: true },
  );
});

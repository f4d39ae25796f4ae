import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { Fleet, documentOf } from './fleet.js';

/** More by hand: `FLEET_RUNS=200 FLEET_SEED=7 node --test packages/fleet/dist/test/random.test.js`. */
const numRuns = Number(process.env.FLEET_RUNS ?? 8);
const seed = Number(process.env.FLEET_SEED ?? 1);

/** One step of a schedule; `at` picks among the nodes that run. */
type Step =
  | { readonly kind: 'kill' | 'cut' | 'submit' | 'wipe' | 'replace'; readonly at: number }
  | { readonly kind: 'heal' | 'restart' }
  | { readonly kind: 'wait'; readonly ms: Millis };

const at = fc.nat(10);
const steps: fc.Arbitrary<readonly Step[]> = fc.array(
  fc.oneof(
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('submit' as const), at }) },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant('wait' as const),
        ms: fc.integer({ min: 20, max: 900 }),
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constantFrom('kill' as const, 'cut' as const, 'wipe' as const, 'replace' as const),
        at,
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({ kind: fc.constantFrom('heal' as const, 'restart' as const) }),
    },
  ),
  { minLength: 5, maxLength: 20 },
);

/** A fleet whose voters are lost and replaced without anybody's command. */
class Run {
  /** Nodes that are to run, and those of them that are down. */
  private nodes = ['a', 'b', 'c'].map(NodeId);
  private readonly down = new Set<NodeId>();
  private version = 0;
  private acknowledged = 0;
  private replaced = 0;

  private constructor(private readonly fleet: Fleet) {}

  static async create(runSeed: number): Promise<Run> {
    return new Run(await Fleet.start(runSeed));
  }

  async step(step: Step): Promise<void> {
    switch (step.kind) {
      case 'wait':
        return this.fleet.clock.advance(step.ms);
      case 'heal':
        return this.fleet.network.heal();
      case 'restart':
        return this.restart();
      case 'kill':
        return this.kill(this.pick(step.at));
      case 'cut':
        return this.cut(this.pick(step.at));
      case 'submit':
        return this.submit(this.pick(step.at));
      case 'wipe':
        return this.loseDisk(this.pick(step.at), false);
      case 'replace':
        return this.loseDisk(this.pick(step.at), true);
      default:
        return step;
    }
  }

  /** After all faults, what was acknowledged is in force at every node. */
  async end(): Promise<void> {
    await this.mend();
    for (const id of this.nodes) {
      const read = await this.fleet.of(this.fleet.nodes.get(id)!.readDocument());
      const { version, text } = read._unsafeUnwrap();
      assert.ok(version >= this.acknowledged, `${version} after ${this.acknowledged}`);
      if (version > 0) assert.equal(text, documentOf(version).text);
    }
  }

  private pick(index: number): NodeId {
    return this.nodes[index % this.nodes.length]!;
  }

  private kill(id: NodeId): void {
    if (this.down.has(id)) return;
    this.fleet.kill(id);
    this.down.add(id);
  }

  private restart(): void {
    for (const id of this.down) this.fleet.run(id);
    this.down.clear();
  }

  private cut(id: NodeId): void {
    for (const other of this.nodes.filter((n) => n !== id)) {
      this.fleet.network.cut(id, other);
      this.fleet.network.cut(other, id);
    }
  }

  /** Submits at a node, which may not answer: the document may then be in force or not. */
  private async submit(id: NodeId): Promise<void> {
    const node = this.fleet.nodes.get(id);
    if (!node) return;
    this.version += 1;
    const { version } = this;
    const done = await this.fleet.of(node.submit(documentOf(version)));
    if (done.isOk()) this.acknowledged = Math.max(this.acknowledged, version);
  }

  /** Loses one disk; others only once every node votes again, as one may be lost at a time. */
  private async loseDisk(id: NodeId, forGood: boolean): Promise<void> {
    await this.mend();
    this.fleet.wipe(id);
    if (!forGood) {
      this.down.add(id);
      return;
    }
    this.replaced += 1;
    const successor = NodeId(`n${this.replaced}`);
    this.nodes = [...this.nodes.filter((n) => n !== id), successor];
    this.fleet.seeds = this.nodes;
    this.fleet.run(successor);
  }

  private async mend(): Promise<void> {
    this.fleet.network.heal();
    this.restart();
    const votes = (id: NodeId) => this.fleet.nodes.get(id)!.isVoter;
    await this.fleet.until(
      () => this.fleet.leader !== undefined && this.nodes.every(votes),
      20_000,
    );
    // Voters that are gone have left by then, so that the next loss meets a set of three.
    const members = () => this.fleet.leader?.voters.length ?? 0;
    await this.fleet.until(() => members() === this.nodes.length, 20_000);
  }
}

test('voters that are lost, emptied, replaced and cut off lose nothing that was acknowledged', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(10_000), steps, async (runSeed, schedule) => {
      const run = await Run.create(runSeed);
      for (const step of schedule) await run.step(step);
      await run.end();
    }),
    { seed, numRuns },
  );
});

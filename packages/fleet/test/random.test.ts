import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { quorumSize } from '@tanagercart/log';
import { Fleet, documentOf } from './fleet.js';

/** More runs: `FLEET_RUNS=200 FLEET_SEED=7 node --test packages/fleet/dist/test/random.test.js`. */
const numRuns = Number(process.env.FLEET_RUNS ?? 8);
const seed = Number(process.env.FLEET_SEED ?? 1);

/** One step of a schedule. `at` selects a node. */
type Step =
  | {
      readonly kind:
        'kill' | 'cut' | 'submit' | 'silence' | 'wipe' | 'replace' | 'succeed' | 'stop';
      readonly at: number;
    }
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
        kind: fc.constantFrom(
          'kill' as const,
          'cut' as const,
          'silence' as const,
          'wipe' as const,
          'replace' as const,
          'succeed' as const,
          'stop' as const,
        ),
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

/** Time for which a voter is silent, after which it is removed from a set of even size. */
const silenceMs: Millis = 2500;

/** Unit of the time after which a disk is lost beside a planned stop, which takes some ms if all answer. */
const stopMomentMs: Millis = 2;

/** Bound on a planned stop. */
const stopMs: Millis = 6000;

const names = ['a', 'b', 'c', 'd', 'e'];

/** A fleet whose voters fail and are replaced without an operator. */
class Simulation {
  /** Nodes that should run, and those of them that are down. */
  private nodes: readonly NodeId[];
  private readonly down = new Set<NodeId>();
  private version = 0;
  private acknowledged = 0;
  private replaced = 0;

  private constructor(private readonly fleet: Fleet) {
    this.nodes = fleet.seeds;
  }

  /** Starts three to five voters. */
  static async create(runSeed: number): Promise<Simulation> {
    return new Simulation(await Fleet.start(runSeed, names.slice(0, 3 + (runSeed % 3))));
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
        return this.fleet.isolate(this.pick(step.at), this.nodes);
      case 'silence':
        return this.silence(this.pick(step.at));
      case 'submit':
        return this.submit(this.pick(step.at));
      case 'wipe':
        return this.loseDisk(this.pick(step.at), false);
      case 'replace':
        return this.loseDisk(this.pick(step.at), true);
      case 'succeed':
        return this.succeed(this.pick(step.at));
      case 'stop':
        return this.stop(this.pick(step.at), step.at);
      default:
        return step;
    }
  }

  /** Checks that no acknowledged document is lost once all faults are repaired. */
  async verify(): Promise<void> {
    await this.repair();
    for (const id of this.nodes) {
      const read = await this.fleet.settle(this.fleet.nodes.get(id)!.readDocument());
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
    for (const id of this.down) this.fleet.startNode(id);
    this.down.clear();
  }

  private async silence(id: NodeId): Promise<void> {
    this.fleet.isolate(id, this.nodes);
    await this.fleet.clock.advance(silenceMs);
    this.fleet.network.heal();
  }

  /** Submits through a node. Without a reply, the document may or may not be in force. */
  private async submit(id: NodeId): Promise<void> {
    const node = this.fleet.nodes.get(id);
    if (!node) return;
    this.version += 1;
    const { version } = this;
    const done = await this.fleet.settle(node.submit(documentOf(version)));
    if (done.isOk()) this.acknowledged = Math.max(this.acknowledged, version);
  }

  /** Loses a disk after every node votes again, since only one disk may be lost at a time. */
  private async loseDisk(id: NodeId, permanently: boolean): Promise<void> {
    await this.repair();
    this.fleet.wipe(id);
    if (!permanently) {
      this.down.add(id);
      return;
    }
    this.startSuccessor(id);
  }

  /** Replaces a voter as planned: its successor joins first, while another voter is silent. */
  private async succeed(id: NodeId): Promise<void> {
    await this.repair();
    this.startSuccessor(id);
    await this.silence(this.nodes[0]!);
    this.fleet.kill(id);
  }

  /** Stops a voter as planned once its successor votes; another one loses its disk meanwhile. */
  private async stop(id: NodeId, moment: number): Promise<void> {
    await this.repair();
    this.startSuccessor(id);
    await this.untilAllVote();
    let stopped = false;
    void this.fleet.nodes
      .get(id)!
      .stop()
      .then(() => {
        stopped = true;
      });
    await this.fleet.clock.advance(moment * stopMomentMs);
    const other = this.pick(moment);
    this.fleet.wipe(other);
    await this.fleet.waitUntil(() => stopped, stopMs);
    this.fleet.kill(id);
    this.down.add(other);
  }

  private startSuccessor(id: NodeId): void {
    this.replaced += 1;
    const successor = NodeId(`n${this.replaced}`);
    this.nodes = [...this.nodes.filter((n) => n !== id), successor];
    this.fleet.seeds = this.nodes;
    this.fleet.startNode(successor);
  }

  private async untilAllVote(): Promise<void> {
    const votes = (id: NodeId) =>
      this.fleet.nodes.get(id)!.isVoter && this.fleet.leader!.voters.includes(id);
    await this.fleet.waitUntil(
      () => this.fleet.leader !== undefined && this.nodes.every(votes),
      20_000,
    );
  }

  private async repair(): Promise<void> {
    this.fleet.network.heal();
    this.restart();
    await this.untilAllVote();
    // Waits until the set has all nodes, and tolerates as many failures as they could by themselves.
    await this.fleet.waitUntil(() => {
      const members = this.fleet.leader?.voters ?? [];
      const hasAll = this.nodes.every((id) => members.includes(id));
      return hasAll && quorumSize(members.length) === quorumSize(this.nodes.length);
    }, 20_000);
  }
}

test('crashes, partitions, lost disks and new voters lose no acknowledged document', async () => {
  await fc.assert(
    fc.asyncProperty(fc.nat(10_000), steps, async (runSeed, schedule) => {
      const run = await Simulation.create(runSeed);
      for (const step of schedule) await run.step(step);
      await run.verify();
    }),
    { seed, numRuns },
  );
});

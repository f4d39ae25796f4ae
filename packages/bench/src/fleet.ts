/**
 * A simulated deployment: eight nodes with the real replica owners and owner selectors in front of
 * fake engines, on a clock that the bench advances.
 */

import {
  DataCentreId,
  HeldClock,
  ModelId,
  NodeId,
  PriceListId,
  SeededRandom,
  UpstreamId,
  digestOf,
} from '@tanagercart/base';
import type { Millis, ReplicaId } from '@tanagercart/base';
import { rankOwners } from '@tanagercart/membership';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { MemoryTransport } from '@tanagercart/protocol';
import type { Model, ReleaseParts, Tier } from '@tanagercart/release';
import { OwnerSelector, planReplicas } from '@tanagercart/routing';
import { Owner } from '@tanagercart/scheduling';
import { SharedState } from '@tanagercart/state';
import type { Command, Replica, Upstream } from '@tanagercart/state';
import { accounts, patient, standard, urgent } from './workload.js';
import { FakeEngine } from './fakeengine.js';
import type { EngineKind } from './fakeengine.js';

/** One-way network delays of a deployment, between nodes and to clients, in milliseconds. */
export interface Site {
  readonly name: string;
  readonly nodeDelayMs: Millis;
  readonly clientDelayMs: Millis;
}

/** Two example deployments that differ in the distance to their clients. */
export const ramdenee: Site = { name: 'ramdenee', nodeDelayMs: 0.5, clientDelayMs: 1 };
export const keswick: Site = { name: 'keswick', nodeDelayMs: 0.5, clientDelayMs: 3 };

const dataCentres = ['dc1', 'dc2', 'dc3'];
const nodeCount = 8;
const layers = 32;

/** Four kinds of accelerators; each replica is a chain of two stages of one kind. */
export const engineKinds: readonly EngineKind[] = [
  { name: 'a', slots: 48, baseMs: 14, sequenceMs: 0.12, promptTokenMs: 0.02 },
  { name: 'b', slots: 32, baseMs: 18, sequenceMs: 0.2, promptTokenMs: 0.03 },
  { name: 'c', slots: 24, baseMs: 24, sequenceMs: 0.35, promptTokenMs: 0.05 },
  { name: 'd', slots: 12, baseMs: 32, sequenceMs: 0.8, promptTokenMs: 0.09 },
];

const replicasPerKind = 10;

/** The tiers of the price list, with the promised time to first token and gap between tokens. */
export const tiers: readonly Tier[] = [
  createTier(urgent, 0, 690, 78),
  createTier(standard, 1, 2000, 150),
  createTier(patient, 2, 30_000, 1000),
];

function createTier(
  id: Tier['id'],
  urgency: number,
  firstTokenMs: Millis,
  tokenGapMs: Millis,
): Tier {
  const limits = { concurrency: 1000, requestsPerSecond: 1000, tokensPerSecond: 1e6 };
  return { id, urgency, price: 1, firstTokenMs, tokenGapMs, retryBudget: 0.1, ...limits };
}

export const model: Model = { id: ModelId('fig'), layers, versions: ['1'], adapters: [] };

/** The parts of one node that decide: the owner of its replicas and the selector of owners. */
export interface BenchNode {
  readonly id: NodeId;
  readonly dataCentre: string;
  readonly transport: MemoryTransport;
  readonly owner: Owner;
  readonly ownerSelector: OwnerSelector;
}

/** A deployment: its shared state, nodes and engines. */
export class Fleet {
  readonly clock = HeldClock.create();
  readonly state = SharedState.create();
  readonly engines = new Map<ReplicaId, FakeEngine>();
  readonly nodes: readonly BenchNode[];
  private index = 0;

  private constructor(
    readonly site: Site,
    readonly random: SeededRandom,
  ) {
    const network = MemoryNetwork.create(this.clock, random);
    network.setQuality({ delayMs: site.nodeDelayMs, jitterMs: 0.1, loss: 0 });
    this.apply({ kind: 'accept-release', note: releaseNote(), digest: digestOf('note'), at: 0 });
    const names = Array.from({ length: nodeCount }, (_, i) => i);
    for (const i of names) this.addNode(i);
    for (const upstream of createStages()) this.apply({ kind: 'upstream-up', upstream });
    this.createReplicas();
    this.nodes = names.map((i) => this.createNode(network, i));
  }

  static create(site: Site, seed: number): Fleet {
    return new Fleet(site, SeededRandom.create(seed));
  }

  /** The node that owns a replica. */
  ownerOf(replica: Replica): NodeId | undefined {
    const first = this.state.upstreams.get(replica.stages[0]!);
    return rankOwners(this.state, replica.id, first?.dataCentre ?? '')[0];
  }

  /** Crashes the engine of a replica; all nodes detect the loss after `detectionMs`. */
  async failReplica(replica: ReplicaId, detectionMs: Millis): Promise<void> {
    this.engines.get(replica)?.crash();
    await this.clock.sleep(detectionMs);
    const upstream = this.state.replicas.get(replica)?.stages[0];
    if (upstream) this.apply({ kind: 'upstream-down', upstream, incarnation: '1', left: false });
  }

  private createReplicas(): void {
    const replicas = planReplicas(model, [...this.state.upstreams.values()], []);
    this.apply({ kind: 'plan', model: model.id, replicas });
    for (const replica of this.state.replicas.values()) {
      const kind = engineKinds.find((k) => replica.stages[0]!.startsWith(k.name))!;
      this.engines.set(replica.id, FakeEngine.create(kind, this.clock));
    }
  }

  private apply(command: Command): void {
    this.index += 1;
    this.state.apply(this.index, command);
  }

  private addNode(i: number): void {
    const id = NodeId(`n${i}`);
    const dataCentre = DataCentreId(dataCentres[i % dataCentres.length]!);
    const address = { id, dataCentre, peer: `peer-${i}`, entry: `http://entry-${i}` };
    this.apply({ kind: 'node-up', node: address, incarnation: '1' });
  }

  private createNode(network: MemoryNetwork, i: number): BenchNode {
    const id = NodeId(`n${i}`);
    const transport = network.attach(id);
    const owner = Owner.create({
      self: id,
      state: this.state,
      clock: this.clock,
      transport,
      canGrant: () => true,
      owns: (replica) => this.ownerOf(replica) === id,
      isLeaving: () => false,
    });
    const ownerSelector = OwnerSelector.create(this.clock, this.random);
    return {
      id,
      dataCentre: dataCentres[i % dataCentres.length]!,
      transport,
      owner,
      ownerSelector,
    };
  }
}

function createStages(): readonly Upstream[] {
  return engineKinds.flatMap((kind) =>
    Array.from({ length: replicasPerKind }, (_, i) => [
      createStage(kind, i, 0, layers / 2),
      createStage(kind, i, layers / 2, layers),
    ]).flat(),
  );
}

function createStage(kind: EngineKind, i: number, from: number, to: number): Upstream {
  const id = UpstreamId(`${kind.name}-${i}-${from}`);
  const stepMs = kind.baseMs + kind.sequenceMs * kind.slots;
  const dataCentre = dataCentres[i % dataCentres.length]!;
  const held = { model: model.id, versions: ['1'], adapters: [], from, to };
  const speed = {
    accelerator: kind.name,
    tokensPerSecond: (kind.slots * 1000) / stepMs,
    slots: kind.slots,
  };
  const role = { kind: 'stage', stage: { ...held, ...speed } } as const;
  return { id, incarnation: '1', url: `http://${id}`, dataCentre, role };
}

function releaseNote() {
  const priceList = PriceListId('list');
  const empty: ReleaseParts = { priceLists: [], clientAccounts: [], models: [], services: [] };
  const clientAccounts = accounts.map((id, i) => ({
    id,
    priceList,
    defaultTier: standard,
    keyDigest: digestOf(id),
    weight: i < 3 ? 4 : 1,
  }));
  const added = {
    ...empty,
    priceLists: [{ id: priceList, tiers }],
    clientAccounts,
    models: [model],
  };
  const withdrawn = { priceLists: [], clientAccounts: [], models: [], services: [] };
  return { number: 1, author: 'bench', added, changed: empty, withdrawn };
}

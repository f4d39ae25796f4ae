/**
 * Fake upstreams on a simulated clock, and nodes that run the placement task on one shared state.
 */

import { ok } from 'neverthrow';
import {
  DataCentreId,
  HeldClock,
  ModelId,
  NodeId,
  ReplicaId,
  SeededRandom,
  StatsdMetrics,
  UpstreamId,
  digestOf,
  silentLogger,
} from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { WorkReply } from '@tanagercart/protocol';
import { SharedState } from '@tanagercart/state';
import type { Command, CommandProposer } from '@tanagercart/state';
import type { PlacementCall, PlacementReply, PlacementClient } from '@tanagercart/upstream';
import { maintainPlacement } from '../src/index.js';

/** Longest lifetime of a lease in these tests, in milliseconds. */
export const longestLeaseMs = 2000;

/** Duration of a load, in milliseconds. */
export const loadMs = 2000;

export const fig = ModelId('fig');

/** An engine that accepts orders; loads take `loadMs`, unloads no time. */
export class FakeEngine {
  readonly versions: string[];
  readonly adapters: string[] = [];
  readonly orders: PlacementCall[] = [];
  highestFence = 0;
  activeLoads = 0;
  /** Time that orders take to arrive, in milliseconds. */
  orderDelayMs = 0;

  constructor(
    readonly id: string,
    versions: readonly string[],
    readonly checksFencing: boolean,
  ) {
    this.versions = [...versions];
  }

  /** Records an order; returns false if the engine refuses its fencing token. */
  accepts(call: PlacementCall): boolean {
    if (this.checksFencing && call.fence < this.highestFence) return false;
    this.highestFence = Math.max(this.highestFence, call.fence);
    this.orders.push(call);
    return true;
  }
}

/**
 * Creates `stageCount` stages that hold `heldVersions` of a model with two layers, and a release
 * with `versions` of it. Stages 2n and 2n + 1 form replica n.
 */
export function createFleet(
  stageCount: number,
  versions = ['v1'],
  heldVersions = ['v1'],
  checksFencing = true,
) {
  const clock = HeldClock.create();
  const network = MemoryNetwork.create(clock, SeededRandom.create(1));
  const state = SharedState.create();
  const engines = new Map<string, FakeEngine>();
  const apply = (command: Command) => state.apply(state.index + 1, command);
  const work = new Map<string, WorkReply>();
  const stats = { maxConcurrentLoads: 0 };
  let number = 0;

  const submitRelease = (offered: readonly string[]) => {
    number += 1;
    const model = { id: fig, layers: 2, versions: offered, adapters: [] };
    const none = { priceLists: [], clientAccounts: [], models: [], services: [] };
    const parts = { ...none, models: [model] };
    const [added, changed] = number === 1 ? [parts, none] : [none, parts];
    const note = { number, author: 'ops', added, changed, withdrawn: none };
    apply({ kind: 'accept-release', note, digest: digestOf(`${number}`), at: 0 });
  };
  const announce = (engine: FakeEngine, incarnation = '1') => {
    const i = Number(engine.id.slice(1));
    const stage = {
      model: fig,
      versions: [...engine.versions],
      adapters: [...engine.adapters],
      from: i % 2,
      to: (i % 2) + 1,
      accelerator: 'a',
      tokensPerSecond: 100,
      slots: 4,
    };
    const role = { kind: 'stage', stage } as const;
    const id = UpstreamId(engine.id);
    const upstream = { id, incarnation, url: engine.id, dataCentre: 'north', role };
    apply({ kind: 'upstream-up', upstream });
  };

  const placements: PlacementClient = {
    sendOrder: async (url, call): Promise<PlacementReply> => {
      const engine = engines.get(url)!;
      await clock.sleep(engine.orderDelayMs);
      if (!engine.accepts(call)) return { kind: 'refused', detail: 'fenced' };
      void execute(engine, call);
      return { kind: 'accepted' };
    },
    fetchHolding: async (url) => {
      const engine = engines.get(url)!;
      return { versions: engine.versions, adapters: engine.adapters, busy: engine.activeLoads > 0 };
    },
  };
  const execute = async (engine: FakeEngine, { action, part }: PlacementCall) => {
    const list = part.kind === 'version' ? engine.versions : engine.adapters;
    if (action === 'unload') {
      list.splice(list.indexOf(part.name), 1);
    } else {
      engine.activeLoads += 1;
      const total = [...engines.values()].reduce((n, e) => n + e.activeLoads, 0);
      stats.maxConcurrentLoads = Math.max(stats.maxConcurrentLoads, total);
      await clock.sleep(loadMs);
      engine.activeLoads -= 1;
      list.push(part.name);
    }
    announce(engine);
  };

  const startNode = (name: string, loadLimit = 2) => {
    const self = NodeId(name);
    const transport = network.attach(self);
    transport.serve('work', async () => work.get(name) ?? { open: [], unserved: [] });
    const address = { id: self, dataCentre: DataCentreId('north'), peer: name, entry: name };
    apply({ kind: 'node-up', node: address, incarnation: '1' });
    const stopping = new AbortController();
    let leads = false;
    const proposals: CommandProposer = {
      propose: async (command) => {
        await clock.sleep(2);
        const outcome = apply(command);
        return ok({ index: state.index, outcome });
      },
    };
    const options = {
      self,
      state,
      proposals,
      transport,
      placements,
      clock,
      logger: silentLogger,
      metrics: StatsdMetrics.create(),
      isLeader: () => leads,
      checksFencing: (id: string) => engines.get(id)!.checksFencing,
      loadLimit,
      longestLeaseMs,
    };
    void maintainPlacement(options, stopping.signal);
    return {
      setLeader: (value: boolean) => {
        leads = value;
      },
      stop: () => stopping.abort(),
    };
  };

  submitRelease(versions);
  for (let i = 0; i < stageCount; i += 1) {
    const engine = new FakeEngine(`u${i}`, heldVersions, checksFencing);
    engines.set(engine.id, engine);
    announce(engine);
  }
  const replicas = Array.from({ length: Math.floor(stageCount / 2) }, (_, r) => ({
    id: ReplicaId(`r${r}`),
    model: fig,
    stages: [UpstreamId(`u${2 * r}`), UpstreamId(`u${2 * r + 1}`)],
  }));
  apply({ kind: 'plan', model: fig, replicas });
  const allEngines = () => [...engines.values()];
  const allHold = (version: string) => allEngines().every((e) => e.versions.includes(version));
  const advanceUntil = async (condition: () => boolean, limitMs = 60_000) => {
    const from = clock.now();
    while (!condition() && clock.now() - from < limitMs) await clock.advance(50);
    return clock.now() - from;
  };
  return {
    clock,
    state,
    engines,
    allEngines,
    work,
    stats,
    network,
    submitRelease,
    announce,
    startNode,
    allHold,
    advanceUntil,
  };
}

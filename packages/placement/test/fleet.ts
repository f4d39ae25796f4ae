/** Upstreams in memory with held time, and holders that share one state. */

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
import type { Command, Proposals } from '@tanagercart/state';
import type { PlacementCall, PlacementReply, PlacementClient } from '@tanagercart/upstream';
import { keepPlacement } from '../src/index.js';

/** Longest life of a lease in these tests, in milliseconds. */
export const longestLeaseMs = 2000;

/** Time for one load, in milliseconds. */
export const loadMs = 2000;

export const fig = ModelId('fig');

/** An engine that carries out orders, in time, one after another. */
export class FakeEngine {
  readonly versions: string[];
  readonly adapters: string[] = [];
  readonly orders: PlacementCall[] = [];
  seen = 0;
  loading = 0;
  /** How long orders take to arrive. */
  lagMs = 0;

  constructor(
    readonly id: string,
    versions: readonly string[],
    readonly checks: boolean,
  ) {
    this.versions = [...versions];
  }

  accepts(call: PlacementCall): boolean {
    if (this.checks && call.fence < this.seen) return false;
    this.seen = Math.max(this.seen, call.fence);
    this.orders.push(call);
    return true;
  }
}

export function createFleet(stages: number, versions = ['v1'], held = ['v1'], checks = true) {
  const clock = HeldClock.create();
  const network = MemoryNetwork.create(clock, SeededRandom.create(1));
  const state = SharedState.create();
  const engines = new Map<string, FakeEngine>();
  const apply = (command: Command) => state.apply(state.index + 1, command);
  const work = new Map<string, WorkReply>();
  const stats = { mostLoading: 0 };
  let number = 0;

  const offer = (now: readonly string[]) => {
    number += 1;
    const model = { id: fig, layers: 2, versions: now, adapters: [] };
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
      await clock.sleep(engine.lagMs);
      if (!engine.accepts(call)) return { kind: 'refused', detail: 'fenced' };
      void carryOut(engine, call);
      return { kind: 'accepted' };
    },
    fetchHolding: async (url) => {
      const engine = engines.get(url)!;
      return { versions: engine.versions, adapters: engine.adapters, busy: engine.loading > 0 };
    },
  };
  const carryOut = async (engine: FakeEngine, { action, part }: PlacementCall) => {
    const list = part.kind === 'version' ? engine.versions : engine.adapters;
    if (action === 'unload') {
      list.splice(list.indexOf(part.name), 1);
    } else {
      engine.loading += 1;
      const all = [...engines.values()].reduce((n, e) => n + e.loading, 0);
      stats.mostLoading = Math.max(stats.mostLoading, all);
      await clock.sleep(loadMs);
      engine.loading -= 1;
      list.push(part.name);
    }
    announce(engine);
  };

  const holder = (name: string, loadLimit = 2) => {
    const self = NodeId(name);
    const transport = network.attach(self);
    transport.serve('work', async () => work.get(name) ?? { open: [], unserved: [] });
    const address = { id: self, dataCentre: DataCentreId('north'), peer: name, entry: name };
    apply({ kind: 'node-up', node: address, incarnation: '1' });
    const stopping = new AbortController();
    let leads = false;
    const proposals: Proposals = {
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
      leads: () => leads,
      checksFencing: (id: string) => engines.get(id)!.checks,
      loadLimit,
      longestLeaseMs,
    };
    void keepPlacement(options, stopping.signal);
    return {
      lead: (now: boolean) => {
        leads = now;
      },
      stop: () => stopping.abort(),
    };
  };

  offer(versions);
  for (let i = 0; i < stages; i += 1) {
    const engine = new FakeEngine(`u${i}`, held, checks);
    engines.set(engine.id, engine);
    announce(engine);
  }
  const replicas = Array.from({ length: Math.floor(stages / 2) }, (_, r) => ({
    id: ReplicaId(`r${r}`),
    model: fig,
    stages: [UpstreamId(`u${2 * r}`), UpstreamId(`u${2 * r + 1}`)],
  }));
  apply({ kind: 'plan', model: fig, replicas });
  const all = () => [...engines.values()];
  const everyHolds = (version: string) => all().every((e) => e.versions.includes(version));
  const until = async (holds: () => boolean, limitMs = 60_000) => {
    const from = clock.now();
    while (!holds() && clock.now() - from < limitMs) await clock.advance(50);
    return clock.now() - from;
  };
  return {
    clock,
    state,
    engines,
    all,
    work,
    stats,
    network,
    offer,
    announce,
    holder,
    everyHolds,
    until,
  };
}

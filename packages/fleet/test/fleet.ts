import { ok } from 'neverthrow';
import {
  DataCentreId,
  HeldClock,
  NodeId,
  SeededRandom,
  ServiceId,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import type { Configuration, Engine } from '@tanagercart/config';
import type { LayerRange } from '@tanagercart/layers';
import { MemoryDisk } from '@tanagercart/log';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { Announcement, UpstreamRecord } from '@tanagercart/protocol';
import { ControlNode } from '../src/index.js';
import type { LayerOrder, OrderClient, OrderReply, UpstreamReport } from '../src/index.js';

export const engine: Engine = {
  slots: 8,
  layerCount: 20,
  layerMb: 100,
  tokenBytes: 1000,
  activationBytes: 100,
  pipeMbps: 1000,
  stepMs: 1,
  stepMsPerSequence: 0,
  stepMsPerThousandTokens: 0,
  readTokensPerSecond: 100_000,
  loadSeconds: 4,
  loadsAtOnce: 6,
  reportLagMs: 100,
  usualPrompt: 100,
  usualAnswer: 10,
  delays: [],
  accelerators: [{ name: 'card', memoryMb: 1000, stepFactor: 1, readFactor: 1 }],
};

export const pool = ServiceId('pool');

export function configuration(version: number): Configuration {
  return {
    version,
    routes: [],
    services: [{ id: pool, maxConnections: 10, engine }],
    accounts: [],
    limits: { headBytes: 16384, bodyBytes: 1048576, headMs: 3000, idleMs: 15000 },
  };
}

export function documentOf(version: number) {
  return { version, text: JSON.stringify(configuration(version)) };
}

/** Upstreams that load what they are ordered to. */
export class FakeUpstreams implements OrderClient {
  readonly held = new Map<UpstreamId, LayerRange>();
  /** Upstreams that are slower than their kind. */
  readonly slow = new Map<UpstreamId, number>();
  /** Upstreams that do not answer. */
  readonly dark = new Set<UpstreamId>();
  readonly fences = new Map<UpstreamId, number[]>();
  /** How long a load takes. */
  loadMs: Millis = 0;
  /** Loads in progress. */
  loading = 0;
  private readonly busy = new Set<UpstreamId>();

  constructor(private readonly clock: Clock) {}

  place(upstream: UpstreamRecord, order: LayerOrder): Promise<OrderReply> {
    const { id } = upstream;
    if (this.dark.has(id)) return Promise.resolve({ kind: 'unknown', detail: 'dark' });
    const seen = this.fences.get(id) ?? [];
    if (order.expectedOrders !== seen.length) return Promise.resolve({ kind: 'conflict' });
    this.fences.set(id, [...seen, order.fencingToken]);
    void this.load(id, order.layers);
    return Promise.resolve({ kind: 'begun' });
  }

  private async load(id: UpstreamId, layers: LayerRange): Promise<void> {
    this.loading += 1;
    this.busy.add(id);
    if (this.loadMs > 0) await this.clock.sleep(this.loadMs);
    this.held.set(id, layers);
    this.busy.delete(id);
    this.loading -= 1;
  }

  async report(upstream: UpstreamRecord) {
    const report: UpstreamReport = {
      busy: this.busy.has(upstream.id),
      startedOrders: this.fences.get(upstream.id)?.length ?? 0,
      layers: this.held.get(upstream.id),
      slowness: this.slow.get(upstream.id) ?? 1,
    };
    return ok(report);
  }
}

export function announcementOf(id: string, change: Partial<Announcement> = {}): Announcement {
  return {
    id: UpstreamId(id),
    born: 1,
    service: pool,
    address: `${id}:1`,
    dataCentre: DataCentreId('north'),
    phase: 'ready',
    slots: 8,
    accelerator: 'card',
    layers: undefined,
    sequence: 1,
    ...change,
  };
}

/** Control nodes in one process with held time, network and disks. */
export class Fleet {
  readonly clock = HeldClock.create();
  readonly random: SeededRandom;
  readonly network: MemoryNetwork;
  readonly upstreams = new FakeUpstreams(this.clock);
  readonly nodes = new Map<NodeId, ControlNode>();
  readonly disks = new Map<NodeId, MemoryDisk>();
  /** Nodes that are told to each that starts; may change. */
  seeds: readonly NodeId[] = ['a', 'b', 'c'].map(NodeId);
  broken: unknown;
  private beats = 1;

  private constructor(seed: number) {
    this.random = SeededRandom.create(seed);
    this.network = MemoryNetwork.create(this.clock, this.random);
  }

  /** A fleet of which no node runs yet. */
  static create(seed: number): Fleet {
    return new Fleet(seed);
  }

  /** Starts nodes that form a log. */
  static async start(seed: number, names: readonly string[] = ['a', 'b', 'c']): Promise<Fleet> {
    const fleet = Fleet.create(seed);
    const initial = names.map(NodeId);
    for (const id of initial) fleet.run(id, initial);
    await fleet.until(() => fleet.leader !== undefined);
    return fleet;
  }

  /** Starts a node on its disk; without `initial` it joins. */
  run(id: NodeId, initial: readonly NodeId[] = []): ControlNode {
    const disk = this.disks.get(id) ?? MemoryDisk.create(this.clock, 1);
    this.disks.set(id, disk);
    const node = ControlNode.create({
      self: id,
      initial,
      seeds: () => this.seeds,
      disk,
      transport: this.network.attach(id),
      clock: this.clock,
      random: this.random,
      logger: silentLogger,
      heartbeatMs: 1000,
      orders: this.upstreams,
      parse: (text) => JSON.parse(text) as Configuration,
      onBroken: (e) => {
        this.broken ??= e;
      },
    });
    this.nodes.set(id, node);
    return node;
  }

  /** Kills a process; its disk keeps what was synced. */
  kill(id: NodeId): void {
    this.network.detach(id);
    void this.nodes.get(id)?.stop();
    this.nodes.delete(id);
    this.disks.set(id, this.disks.get(id)!.crash(this.random));
  }

  /** Kills a process and empties its disk. */
  wipe(id: NodeId): void {
    this.kill(id);
    this.disks.set(id, this.disks.get(id)!.restore(new Map()));
  }

  get leader(): ControlNode | undefined {
    return [...this.nodes.values()].find((n) => n.isLeader);
  }

  async until(done: () => boolean, ms: Millis = 10_000): Promise<void> {
    const deadline = this.clock.now() + ms;
    while (!done()) {
      if (this.broken) throw this.broken as Error;
      if (this.clock.now() > deadline) throw new Error('did not come about in time');
      await this.clock.advance(10);
    }
  }

  /** The outcome of a promise, with time going by. */
  async of<T>(promise: Promise<T>): Promise<T> {
    let value: { readonly got: T } | undefined;
    void promise.then((got) => {
      value = { got };
    });
    await this.until(() => value !== undefined);
    return value!.got;
  }

  /** Announces upstreams at some node, as their heartbeats would. */
  async beat(ids: readonly string[], change: Partial<Announcement> = {}): Promise<void> {
    this.beats += 1;
    for (const id of ids) {
      const layers = this.upstreams.held.get(UpstreamId(id));
      const announcement = announcementOf(id, { sequence: this.beats, layers, ...change });
      const [node] = this.nodes.values();
      (await this.of(node!.announce(announcement)))._unsafeUnwrap();
    }
  }

  /** Lets time go by with heartbeats. */
  async live(ids: readonly string[], ms: Millis): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      await this.beat(ids);
      await this.clock.advance(500);
    }
  }
}

import { ok } from 'neverthrow';
import {
  DataCentreId,
  HeldClock,
  NodeId,
  SeededRandom,
  ServiceId,
  SuspendAwareClock,
  UpstreamId,
  createStopController,
  silentLogger,
} from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import type { Configuration, Engine } from '@tanagercart/config';
import type { LayerRange } from '@tanagercart/layers';
import { MemoryDisk } from '@tanagercart/log';
import { MemoryNetwork } from '@tanagercart/protocol';
import type {
  Announcement,
  EntryRecord,
  LimitNotice,
  PaceReport,
  UpstreamIncarnation,
  TransferLoad,
  UpstreamLoad,
  UpstreamRecord,
} from '@tanagercart/protocol';
import { ControlNode, FleetView, SlownessShare, Watcher, entryLeaseMs } from '../src/index.js';
import type { LayerOrder, OrderClient, OrderReply, UpstreamReport } from '../src/index.js';
import { SimulatedProcessor } from './processor.js';
import type { CallCosts } from './processor.js';

export const engine: Engine = {
  slots: 8,
  layerCount: 20,
  layerMb: 100,
  kvBytesPerToken: 1000,
  activationBytes: 100,
  interDataCentreMbps: 1000,
  stepMs: 1,
  stepMsPerSequence: 0,
  stepMsPerThousandTokens: 0,
  prefillTokensPerSecond: 100_000,
  loadSeconds: 4,
  maxConcurrentLoads: 6,
  reportLagMs: 100,
  meanPromptTokens: 100,
  meanAnswerTokens: 10,
  delays: [],
  accelerators: [{ name: 'card', memoryMb: 1000, stepFactor: 1, readFactor: 1 }],
};

/** Time after its acknowledgement within which a document is in force everywhere. */
export const configApplyMs: Millis = 2000;

const leaseMs = entryLeaseMs({ configApplyMs, revokeMs: 5000 });

export const pool = ServiceId('pool');

export function configuration(version: number): Configuration {
  return {
    version,
    routes: [],
    services: [{ id: pool, maxConnections: 10, engine }],
    accounts: undefined,
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 1048576,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
  };
}

/** A document with the given version, in the form that `parse` of the test fleet reads. */
export function documentOf(version: number) {
  return { version, text: JSON.stringify(configuration(version)) };
}

/** Simulated upstreams that load the layers they are ordered to hold. */
export class FakeUpstreams implements OrderClient {
  readonly layers = new Map<UpstreamId, LayerRange>();
  /** Slowness factors of upstreams that are slower than their kind. */
  readonly slow = new Map<UpstreamId, number>();
  /** Upstreams that do not reply to orders. */
  readonly unresponsive = new Set<UpstreamId>();
  /** Fencing tokens of the orders that each upstream has started. */
  readonly fencingTokens = new Map<UpstreamId, number[]>();
  /** Duration of a load. */
  loadMs: Millis = 0;
  /** Number of reports that were asked for. */
  reports = 0;
  /** Called before an upstream answers with its report. */
  onReport: ((report: UpstreamReport, id: UpstreamId) => void) | undefined;
  /** Number of loads in progress. */
  activeLoads = 0;
  private readonly busy = new Set<UpstreamId>();

  constructor(private readonly clock: Clock) {}

  place(upstream: UpstreamRecord, order: LayerOrder): Promise<OrderReply> {
    const { id } = upstream;
    if (this.unresponsive.has(id)) return Promise.resolve({ kind: 'unknown', detail: 'no reply' });
    const tokens = this.fencingTokens.get(id) ?? [];
    if (order.expectedOrders !== tokens.length) return Promise.resolve({ kind: 'conflict' });
    this.fencingTokens.set(id, [...tokens, order.fencingToken]);
    void this.load(id, order.layers);
    return Promise.resolve({ kind: 'begun' });
  }

  private async load(id: UpstreamId, layers: LayerRange): Promise<void> {
    this.activeLoads += 1;
    this.busy.add(id);
    if (this.loadMs > 0) await this.clock.sleep(this.loadMs);
    this.layers.set(id, layers);
    this.busy.delete(id);
    this.activeLoads -= 1;
  }

  async report(upstream: UpstreamRecord) {
    this.reports += 1;
    const report: UpstreamReport = {
      busy: this.busy.has(upstream.id),
      startedOrders: this.fencingTokens.get(upstream.id)?.length ?? 0,
      layers: this.layers.get(upstream.id),
      slowness: this.slow.get(upstream.id) ?? 1,
    };
    this.onReport?.(report, upstream.id);
    return ok(report);
  }
}

/** What an entry of a test reports, and what it does on news. */
interface EntryOptions {
  readonly loads?: readonly UpstreamLoad[];
  readonly transfers?: readonly TransferLoad[];
  /** Whether the entry polls its share of the upstreams for their speed. */
  readonly polls?: boolean;
  readonly leaving?: () => readonly UpstreamIncarnation[];
  readonly limits?: () => readonly LimitNotice[];
  readonly onLimits?: (notices: readonly LimitNotice[]) => void;
  readonly onCall?: () => void;
  readonly paces?: () => readonly PaceReport[];
  readonly isDetached?: boolean;
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

/** Control nodes in one process on a simulated clock, network and disks. */
export class Fleet {
  readonly clock = HeldClock.create();
  readonly random: SeededRandom;
  readonly network: MemoryNetwork;
  readonly upstreams = new FakeUpstreams(this.clock);
  readonly nodes = new Map<NodeId, ControlNode>();
  readonly disks = new Map<NodeId, MemoryDisk>();
  /** Seeds of every node. The list may change while nodes run. */
  seeds: readonly NodeId[] = ['a', 'b', 'c'].map(NodeId);
  readonly processors = new Map<NodeId, SimulatedProcessor>();
  /** By how much the wall clock of a node is ahead of the others. */
  readonly wallAheadMs = new Map<NodeId, Millis>();
  /** Processor time that calls take on each node; undefined if they take none. */
  costs: CallCosts | undefined;
  /** Processor time that an order, or the request for a report, takes on a node with costs. */
  orderCostMs: Millis = 0;
  /** The first error that a task of a node failed with. */
  failure: unknown;
  /** Number of documents that nodes have parsed. */
  parsed = 0;
  private sequence = 1;

  private constructor(seed: number) {
    this.random = SeededRandom.create(seed);
    this.network = MemoryNetwork.create(this.clock, this.random);
  }

  /** Creates a fleet without running nodes. */
  static create(seed: number): Fleet {
    return new Fleet(seed);
  }

  /** Starts nodes that form a log, and waits for a leader. */
  static async start(
    seed: number,
    names: readonly string[] = ['a', 'b', 'c'],
    costs?: CallCosts,
    orderCostMs: Millis = 0,
  ): Promise<Fleet> {
    const fleet = Fleet.create(seed);
    fleet.costs = costs;
    fleet.orderCostMs = orderCostMs;
    const initial = names.map(NodeId);
    fleet.seeds = initial;
    for (const id of initial) fleet.startNode(id, initial);
    await fleet.waitUntil(() => fleet.leader !== undefined);
    return fleet;
  }

  /** Starts a node on its disk. Without `initial` it joins the others. */
  startNode(id: NodeId, initial: readonly NodeId[] = []): ControlNode {
    const disk = this.disks.get(id) ?? MemoryDisk.create(this.clock, 1);
    this.disks.set(id, disk);
    const transport = this.network.attach(id);
    const processor = this.costs && SimulatedProcessor.create(this.clock, this.costs);
    if (processor) this.processors.set(id, processor);
    const node = ControlNode.create({
      self: id,
      initial,
      seeds: () => this.seeds,
      disk,
      transport: processor ? processor.transportOf(transport) : transport,
      clock: this.clockOf(id, processor?.clockOf(this.clock)),
      random: this.random,
      logger: silentLogger,
      heartbeatMs: 1000,
      orders: processor ? this.ordersOf(processor) : this.upstreams,
      parse: (text) => {
        this.parsed += 1;
        return JSON.parse(text) as Configuration;
      },
      onBroken: (e) => {
        this.failure ??= e;
      },
      entryLeaseMs: leaseMs,
      utilization: () => processor?.utilization() ?? 0,
    });
    this.nodes.set(id, node);
    return node;
  }

  /** The clock of a node as its program has it, which follows forward steps of the wall clock. */
  clockOf(node: NodeId, held: Clock = this.clock): Clock {
    return SuspendAwareClock.create({
      now: () => held.now(),
      latest: () => held.latest(),
      wall: () => held.wall() + (this.wallAheadMs.get(node) ?? 0),
      sleep: (ms, signal) => held.sleep(ms, signal),
    });
  }

  private ordersOf(processor: SimulatedProcessor): OrderClient {
    const { upstreams, orderCostMs } = this;
    return {
      place: async (upstream, order) => {
        await processor.work(orderCostMs);
        return upstreams.place(upstream, order);
      },
      report: async (upstream) => {
        await processor.work(orderCostMs);
        return upstreams.report(upstream);
      },
    };
  }

  /** Starts an entry that follows the leader, and calls `onCall` before each of its calls. */
  startEntry(
    node: NodeId,
    options: EntryOptions = {},
  ): { readonly view: FleetView; readonly watcher: Watcher; readonly stop: () => void } {
    const { loads = [], polls = false, limits = () => [], leaving = () => [], onCall } = options;
    const { onLimits = () => undefined, paces = () => [] } = options;
    const { transfers = [], isDetached = false } = options;
    const clock = this.clockOf(node);
    const view = FleetView.create({
      clock,
      logger: silentLogger,
      leaseMs,
      parse: (text) => JSON.parse(text) as Configuration,
      onLimits,
    });
    const entry: EntryRecord = {
      node,
      dataCentre: DataCentreId('north'),
      address: `${node}:1`,
      phase: 'ready',
      ...(isDetached ? { isDetached } : {}),
    };
    const slowness = SlownessShare.create({
      self: node,
      view,
      orders: this.upstreams,
      clock,
      logger: silentLogger,
    });
    if (polls) void slowness.run(createStopController().signal);
    const watcher = Watcher.create({
      transport: this.network.attach(node),
      clock,
      logger: silentLogger,
      view,
      seeds: () => this.seeds,
      entry: () => {
        onCall?.();
        return entry;
      },
      loads: () => loads,
      transfers: () => transfers,
      suspicions: () => [],
      limits,
      leaving,
      slow: () => slowness.slow,
      paces,
    });
    const ending = createStopController();
    void watcher.run(ending.signal);
    return { view, watcher, stop: () => ending.abort() };
  }

  /** Cuts all links between a node and others, by default all that run. */
  isolate(id: NodeId, others: Iterable<NodeId> = this.nodes.keys()): void {
    for (const other of others) {
      if (other === id) continue;
      this.network.cut(id, other);
      this.network.cut(other, id);
    }
  }

  /** Kills a process. Its disk keeps synced data. */
  kill(id: NodeId): void {
    this.network.detach(id);
    void this.nodes.get(id)?.end();
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

  /** Advances the clock until `done` holds; throws after `ms`. */
  async waitUntil(done: () => boolean, ms: Millis = 10_000): Promise<void> {
    const deadline = this.clock.now() + ms;
    while (!done()) {
      if (this.failure) throw this.failure as Error;
      if (this.clock.now() > deadline) throw new Error('the condition was not met in time');
      await this.clock.advance(10);
    }
  }

  /** Advances the clock until a promise is resolved; returns its value. */
  async settle<T>(promise: Promise<T>): Promise<T> {
    let value: { readonly result: T } | undefined;
    void promise.then((result) => {
      value = { result };
    });
    await this.waitUntil(() => value !== undefined);
    return value!.result;
  }

  /** Announces upstreams once through the first node. */
  async heartbeat(ids: readonly string[], change: Partial<Announcement> = {}): Promise<void> {
    this.sequence += 1;
    for (const id of ids) {
      const layers = this.upstreams.layers.get(UpstreamId(id));
      const announcement = announcementOf(id, { sequence: this.sequence, layers, ...change });
      const [node] = this.nodes.values();
      (await this.settle(node!.announce(announcement)))._unsafeUnwrap();
    }
  }

  /** The next announcement of an upstream, with the layers that it holds. */
  nextAnnouncement(id: string): Announcement {
    this.sequence += 1;
    const layers = this.upstreams.layers.get(UpstreamId(id));
    return announcementOf(id, { sequence: this.sequence, layers });
  }

  /** Announces an upstream through the first node, without waiting for the outcome. */
  async announce(id: string, change: Partial<Announcement> = {}): Promise<void> {
    this.sequence += 1;
    const [node] = this.nodes.values();
    await node!.announce(announcementOf(id, { sequence: this.sequence, ...change }));
  }

  /** Advances the clock by `ms` while the given upstreams send heartbeats. */
  async runFor(ids: readonly string[], ms: Millis): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      await this.heartbeat(ids);
      await this.clock.advance(500);
    }
  }
}

/** Starts entries that report load at an upstream; returns their views. */
export function startEntries(fleet: Fleet, count: number): ReadonlyMap<NodeId, FleetView> {
  const loads = [{ id: UpstreamId('u0'), sequences: 1, entered: 1, tokenLayers: 1 }];
  const nodes = Array.from({ length: count }, (_, i) => NodeId(`entry-${i}`));
  return new Map(nodes.map((node) => [node, fleet.startEntry(node, { loads }).view]));
}

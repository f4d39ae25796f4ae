/** One node of the system, wired out of the library packages. */

import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Bell, StatsdMetrics, TaskGroup, rendezvous, systemRandom } from '@tanagercart/base';
import type { AccountId, Clock, Logger, Metrics, NodeId } from '@tanagercart/base';
import { Dispatch, Gate, Orders } from '@tanagercart/dispatch';
import { Door, createCallerServer, createOperatorServer } from '@tanagercart/entry';
import { MemoryStore, Raft, defaultTiming } from '@tanagercart/log';
import {
  Control,
  History,
  Ownership,
  Progress,
  Upstreams,
  defaultLeaseTiming,
} from '@tanagercart/membership';
import type { ConfigurationLease } from '@tanagercart/membership';
import { TcpTransport, encode } from '@tanagercart/protocol';
import type { NodeAddress } from '@tanagercart/protocol';
import type { Model } from '@tanagercart/release';
import { keepPlans } from '@tanagercart/routing';
import { Owner } from '@tanagercart/scheduling';
import type { Settings } from '@tanagercart/settings';
import { Batches, Proposer } from '@tanagercart/state';
import type { Upstream } from '@tanagercart/state';
import { HttpEngines, HttpServices, createPool } from '@tanagercart/upstream';
import { close, listen } from './server.js';

/** Entries that a caller is told of at most. */
const entriesTold = 3;

/** Pause between two looks at whether the work in progress has ended, in milliseconds. */
const drainPauseMs = 20;

/** What a node needs besides its settings. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly operatorKey: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Receives a broken invariant. */
  readonly onBroken: (error: unknown) => void;
}

/** Why a node could not start. */
export interface StartError {
  readonly detail: string;
}

/** A running node. */
export class Node {
  readonly metrics: Metrics;
  readonly history = History.create();
  readonly transport: TcpTransport;
  private readonly pool = createPool();
  private readonly stopping = new AbortController();
  private readonly tasks: TaskGroup;
  private readonly proposer: Proposer;
  private readonly progress: Progress;
  private readonly control: Control;
  private readonly logger: Logger;
  private readonly callers: Server;
  private readonly operators: Server;
  private readonly owner: Owner;
  private readonly ownership: Ownership;
  private readonly incarnation = randomUUID();
  private readonly upstreams: Upstreams;
  private orders: Orders | undefined;
  private raft: Raft | undefined;
  private address: NodeAddress;
  private draining = false;
  private inProgress = 0;
  private readonly drainAsked = Bell.create();

  private constructor(private readonly o: NodeOptions) {
    const { settings, clock, onBroken } = o;
    const self = settings.node.id;
    this.logger = o.logger;
    this.metrics = StatsdMetrics.create(statsdOf(settings));
    this.tasks = TaskGroup.create(onBroken);
    this.address = addressOf(settings);
    this.transport = TcpTransport.create({
      self,
      cluster: settings.cluster,
      resolve: (node) => this.resolve(node),
      clock,
      logger: o.logger.part('peers'),
      onBroken,
    });
    this.proposer = Proposer.create(this.transport, clock, () => settings.voters);
    this.progress = Progress.create(this.transport, clock, () => settings.voters);
    this.upstreams = this.createUpstreams();
    this.control = this.createControl();
    this.ownership = Ownership.create({
      self,
      incarnation: this.incarnation,
      history: this.history,
      transport: this.transport,
      clock,
      timing: defaultLeaseTiming,
    });
    this.owner = this.createOwner();
    this.callers = createCallerServer(this.createDoor(), settings.limits.requestMs, onBroken);
    this.callers.on('request', (_, res) => {
      this.inProgress += 1;
      res.on('close', () => {
        this.inProgress -= 1;
      });
    });
    this.operators = createOperatorServer(this.operatorOptions(), onBroken);
  }

  /** Starts a node: opens its listeners and begins to follow the cluster. */
  static async start(options: NodeOptions): Promise<Result<Node, StartError>> {
    const node = new Node(options);
    const opened = await node.open();
    return opened.map(() => node);
  }

  get id(): NodeId {
    return this.o.settings.node.id;
  }

  /** Base URL for callers. */
  get entryUrl(): string {
    return this.address.entry;
  }

  /** Base URL for operators. */
  operatorUrl = '';

  /** How long this node may take new work under the state that it holds. */
  get lease(): ConfigurationLease {
    return this.control.lease;
  }

  /** Whether this node may take new work now. */
  get ready(): boolean {
    return this.lease.valid && !this.draining;
  }

  private get busy(): boolean {
    return this.inProgress > 0 || this.owner.inUse > 0 || (this.orders?.unsettled ?? 0) > 0;
  }

  /** Resolves when an operator asks this node to drain. */
  untilDrainAsked(): Promise<void> {
    return this.drainAsked.wait();
  }

  /** Stops taking work, finishes what is in progress, and ends. */
  async drain(): Promise<void> {
    this.logger.info('Draining.');
    this.draining = true;
    while (this.busy) await this.o.clock.sleep(drainPauseMs);
    await this.stop();
  }

  /** Ends at once; what is in progress is cut. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.callers.closeAllConnections();
    this.operators.closeAllConnections();
    await Promise.all([close(this.callers), close(this.operators), this.raft?.stop()]);
    await this.transport.close();
    await this.tasks.join();
    await this.pool.destroy();
    this.metrics.close();
  }

  private async open(): Promise<Result<void, StartError>> {
    const { node } = this.o.settings;
    const peer = await this.listenPeers(node.peer);
    if (peer.isErr()) return err({ detail: `peer address ${node.peer}: ${peer.error.message}` });
    const entry = await listen(this.callers, node.entry);
    if (entry.isErr()) {
      return err({ detail: `entry address ${node.entry}: ${entry.error.message}` });
    }
    const operator = await listen(this.operators, node.operator);
    if (operator.isErr()) {
      return err({ detail: `operator address ${node.operator}: ${operator.error.message}` });
    }
    this.address = { ...this.address, peer: peer.value, entry: `http://${entry.value}` };
    this.operatorUrl = `http://${operator.value}`;
    this.begin();
    this.logger.info('Serving.', { entry: this.address.entry });
    return ok(undefined);
  }

  private async listenPeers(address: string): Promise<Result<string, Error>> {
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    const port = await this.transport.listen(
      host.replace(/[[\]]/g, ''),
      Number(address.slice(colon + 1)),
    );
    return port.map((p) => `${host}:${p}`);
  }

  private begin(): void {
    const { signal } = this.stopping;
    if (this.o.settings.voters.includes(this.id)) this.raft = this.createRaft();
    this.servePropose();
    this.control.start(this.tasks, signal);
    this.tasks.start(() => keepPlans(this.plannerOptions(), signal));
    this.tasks.start(() => this.upstreams.watch(signal));
    this.tasks.start(() => this.ownership.watch(signal));
  }

  private createRaft(): Raft {
    const { clock, settings, onBroken } = this.o;
    return Raft.create({
      self: this.id,
      voters: settings.voters,
      transport: this.transport,
      store: MemoryStore.create(),
      machine: {
        apply: (index, bytes) => {
          this.control.commitTimes.note(index, clock.now());
          return encode(this.history.apply(index, bytes));
        },
      },
      clock,
      random: systemRandom,
      timing: defaultTiming,
      logger: this.logger.part('log'),
      onBroken,
    });
  }

  private createUpstreams(): Upstreams {
    return Upstreams.create({
      self: this.id,
      history: this.history,
      proposer: this.proposer,
      transport: this.transport,
      clock: this.o.clock,
      logger: this.logger.part('upstreams'),
    });
  }

  private createControl(): Control {
    return Control.create({
      self: () => this.address,
      incarnation: this.incarnation,
      transport: this.transport,
      history: this.history,
      proposer: this.proposer,
      leadership: { leads: () => this.leads(), leader: () => this.raft?.leader },
      clock: this.o.clock,
      timing: defaultLeaseTiming,
      logger: this.logger.part('control'),
      draining: () => this.draining,
      seeds: () => this.o.settings.voters,
    });
  }

  private createOwner(): Owner {
    return Owner.create({
      self: this.id,
      state: this.history.state,
      clock: this.o.clock,
      transport: this.transport,
      mayGrant: () => this.ready,
      owns: (replica) => this.ownership.mayGrant(replica),
      isLeaving: (upstream) => this.upstreams.isLeaving(upstream.id),
    });
  }

  private createDoor(): Door {
    const { clock, settings } = this.o;
    const { transport } = this;
    const { state } = this.history;
    const proposals = Batches.create(this.proposer, clock);
    Gate.create({ state, clock, transport, isUp: (node) => state.nodes.has(node) });
    const dispatch = Dispatch.create({
      clock,
      logger: this.logger.part('dispatch'),
      metrics: this.metrics,
      transport: this.transport,
      random: systemRandom,
      engines: HttpEngines.create(this.pool),
      proposals,
      state,
      owners: (model) => this.ownersOf(model),
      gates: (fingerprint) => rendezvous(fingerprint, [...state.nodes.keys()]),
    });
    this.orders = Orders.create({
      self: this.id,
      clock,
      logger: this.logger.part('orders'),
      metrics: this.metrics,
      proposals,
      services: HttpServices.create(this.pool),
      upstreams: (service) => this.upstreamsOf(service),
    });
    return Door.create({
      self: this.id,
      state: this.history.state,
      lease: this.lease,
      dispatch,
      orders: this.orders,
      upstreams: this.upstreams,
      clock,
      logger: this.logger.part('entry'),
      metrics: this.metrics,
      limits: settings.limits,
      entries: (account) => this.entriesFor(account),
      draining: () => this.draining,
    });
  }

  private operatorOptions() {
    return {
      key: this.o.operatorKey,
      state: this.history.state,
      proposer: this.proposer,
      progress: this.progress,
      clock: this.o.clock,
      status: () => this.status(),
      drain: () => this.drainAsked.ring(),
    };
  }

  private status() {
    const { state } = this.history;
    return {
      node: this.id,
      draining: this.draining,
      leaseMs: Math.round(this.lease.leftMs),
      release: state.release.number,
      index: state.index,
      leader: this.raft?.leader,
      voters: this.o.settings.voters,
      nodes: [...state.nodes.values()].map((n) => n.address),
      replicas: [...state.replicas.values()].map((r) => ({
        ...r,
        owner: this.ownership.ownerOf(r),
      })),
      upstreams: [...state.upstreams.values()],
    };
  }

  private plannerOptions() {
    return {
      state: this.history.state,
      proposer: this.proposer,
      clock: this.o.clock,
      logger: this.logger.part('planner'),
      leads: () => this.leads(),
    };
  }

  private servePropose(): void {
    this.transport.serve('propose', async (_, call) => {
      if (!this.raft) return { kind: 'not-leader', leader: undefined };
      const applied = await this.raft.propose(call.bytes);
      if (applied.isOk()) return { kind: 'applied', ...applied.value };
      if (applied.error.kind === 'not-leader') return applied.error;
      return { kind: 'unknown', reason: 'leadership was lost' };
    });
  }

  private leads(): boolean {
    return this.raft?.holdsLease === true;
  }

  private resolve(node: NodeId): string | undefined {
    const known = this.history.state.nodes.get(node)?.address.peer;
    return known ?? this.o.settings.peers.find((p) => p.id === node)?.peer;
  }

  private ownersOf(model: Model): readonly NodeId[] {
    const owners = new Set<NodeId>();
    for (const replica of this.history.state.replicas.values()) {
      const owner = replica.model === model.id && this.ownership.ownerOf(replica);
      if (owner) owners.add(owner);
    }
    return rendezvous(randomUUID(), [...owners]);
  }

  private upstreamsOf(service: string): readonly Upstream[] {
    const all = [...this.history.state.upstreams.values()];
    return all.filter(
      (u) =>
        u.role.kind === 'service' && u.role.service === service && !this.upstreams.isLeaving(u.id),
    );
  }

  private entriesFor(account: AccountId | undefined): readonly string[] {
    const { nodes } = this.history.state;
    const ranked = rendezvous(account ?? randomUUID(), [...nodes.keys()]);
    const told = this.draining ? ranked.filter((n) => n !== this.id) : ranked;
    return told.slice(0, entriesTold).map((n) => nodes.get(n)!.address.entry);
  }
}

function addressOf(settings: Settings): NodeAddress {
  const { id, dataCentre, peer, entry } = settings.node;
  return { id, dataCentre, peer, entry: `http://${entry}` };
}

function statsdOf(settings: Settings) {
  const { statsd } = settings.metrics;
  if (!statsd) return undefined;
  const colon = statsd.lastIndexOf(':');
  return { host: statsd.slice(0, colon), port: Number(statsd.slice(colon + 1)) };
}

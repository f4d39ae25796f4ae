/** A node of the system: creates the components, connects them, and starts and stops them. */

import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Bell, StatsdMetrics, TaskGroup, createStopController } from '@tanagercart/base';
import type { Clock, Logger, Metrics, NodeId } from '@tanagercart/base';
import { createCallerServer, createOperatorServer } from '@tanagercart/entry';
import type { Entry } from '@tanagercart/entry';
import {
  History,
  Ownership,
  ProgressClient,
  UpstreamRegistry,
  leaderFirst,
  longestLeaseMs,
} from '@tanagercart/membership';
import type { ConfigurationLease } from '@tanagercart/membership';
import type { Disk } from '@tanagercart/log';
import { maintainPlacement } from '@tanagercart/placement';
import { TcpTransport, parseHostPort } from '@tanagercart/protocol';
import type { NodeAddress } from '@tanagercart/protocol';
import { Owner } from '@tanagercart/scheduling';
import { checksFencing } from '@tanagercart/settings';
import type { Settings } from '@tanagercart/settings';
import { Proposer } from '@tanagercart/state';
import type { Replica } from '@tanagercart/state';
import { HttpPlacementClient, createPool } from '@tanagercart/upstream';
import { configuredAddress, withPort } from './address.js';
import { ControlPlane } from './controlplane.js';
import { Directory } from './directory.js';
import { reportGauges } from './gauges.js';
import { NodeLimits } from './limits.js';
import { createEntry, statusOf } from './listeners.js';
import type { NodeParts } from './listeners.js';
import { close, listen } from './server.js';

/** Longest wait for the leader to remove a draining node from the shared state, in milliseconds. */
const deregistrationTimeoutMs = 5000;

/** Options of a node. */
export interface NodeOptions {
  readonly settings: Settings;
  readonly operatorKey: string;
  /** Key that upstreams must send; without it, announcements need no key. */
  readonly upstreamKey?: string;
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Replaces the data folder of the settings. A disk in memory loses its content when the process
   * ends.
   */
  readonly disk?: Disk;
  /** Called with the error when an invariant is violated. */
  readonly onBroken: (error: unknown) => void;
}

/** The reason why a node could not start. */
export interface StartError {
  readonly detail: string;
}

/**
 * A node. `start` opens its listeners and joins the cluster; `open` and `joinCluster` do so in two
 * steps, for processes that run several nodes on free ports.
 */
export class Node {
  readonly metrics: Metrics;
  readonly history = History.create();
  readonly transport: TcpTransport;
  private readonly pool = createPool();
  private readonly stopping = createStopController();
  private readonly tasks: TaskGroup;
  private readonly proposer: Proposer;
  private readonly logger: Logger;
  private readonly upstreams: UpstreamRegistry;
  private readonly directory: Directory;
  private readonly control: ControlPlane;
  private readonly ownership: Ownership;
  private readonly progress: ProgressClient;
  private readonly incarnation = randomUUID();
  private readonly owner: Owner;
  private readonly limits: NodeLimits;
  private readonly entry: Entry;
  private readonly callers: Server;
  private readonly operators: Server;
  /** Addresses that the node announces to the others. */
  address: NodeAddress;
  private draining = false;
  private drainDone: Promise<void> | undefined;
  private stopDone: Promise<void> | undefined;
  private readonly drainRequested = Bell.create();

  private constructor(private readonly o: NodeOptions) {
    const { settings, clock, onBroken } = o;
    this.logger = o.logger;
    this.metrics = StatsdMetrics.create(statsdOf(settings));
    this.tasks = TaskGroup.create(onBroken);
    this.address = configuredAddress(settings);
    this.transport = this.createTransport();
    this.proposer = Proposer.create(this.transport, clock, () => this.votersLeaderFirst());
    this.progress = ProgressClient.create(this.transport, clock, () => this.votersLeaderFirst());
    this.control = this.createControl();
    this.upstreams = this.createUpstreams();
    this.ownership = this.createOwnership();
    this.directory = this.createDirectory();
    this.owner = this.createOwner();
    this.limits = this.createLimits();
    const parts = this.parts();
    this.entry = createEntry(parts);
    this.callers = createCallerServer(this.entry, onBroken);
    this.operators = createOperatorServer(this.operatorOptions(parts), onBroken);
  }

  /** Opens the listeners of a node and joins the cluster. */
  static async start(options: NodeOptions): Promise<Result<Node, StartError>> {
    const opened = await Node.open(options);
    return opened.map((node) => {
      node.joinCluster();
      return node;
    });
  }

  /** Opens the listeners and the store of a node, which stays passive until `joinCluster`. */
  static async open(options: NodeOptions): Promise<Result<Node, StartError>> {
    const node = new Node(options);
    const opened = await node.openAll();
    if (opened.isOk()) return ok(node);
    await node.stop();
    return err(opened.error);
  }

  /** Starts all tasks. The addresses in `peers` override those in the settings. */
  joinCluster(peers: readonly NodeAddress[] = []): void {
    const { signal } = this.stopping;
    for (const p of peers) this.directory.setPeerAddress(p.id, p.peer);
    this.transport.serve('drain', async (from, { by }) => {
      this.logger.info('Drain requested.', { by, from });
      this.drainRequested.ring();
      return { draining: true };
    });
    this.control.start(this.tasks, signal);
    this.tasks.start(() => this.ownership.pollPreviousOwners(signal));
    this.limits.start(this.tasks, signal);
    this.tasks.start(() => this.upstreams.watch(signal));
    this.tasks.start(() => maintainPlacement(this.placementOptions(), signal));
    this.tasks.start(() => this.owner.audit(signal));
    this.tasks.start(() => reportGauges(this.gaugeSource(), signal));
    this.logger.info('Serving.', { entry: this.address.entry });
  }

  get id(): NodeId {
    return this.o.settings.node.id;
  }

  /** The configuration lease, without which this node accepts no new work. */
  get lease(): ConfigurationLease {
    return this.control.lease;
  }

  /** Base URL for callers. */
  get entryUrl(): string {
    return this.address.entry;
  }

  /** Base URL for operators; empty until the listeners are open. */
  operatorUrl = '';

  /** Whether this node may accept new work now: it holds a lease and is not draining. */
  get ready(): boolean {
    return this.lease.valid && !this.draining;
  }

  /** Whether this node may grant slots on `replica` now. */
  canGrant(replica: Replica): boolean {
    return this.ready && this.ownership.canGrant(replica);
  }

  /** Resolves when an operator requests that this node drain. */
  untilDrainRequested(): Promise<void> {
    return this.drainRequested.wait();
  }

  /** Stops accepting work, waits for the requests and orders in progress, and stops the node. */
  drain(): Promise<void> {
    this.drainDone ??= this.finishAndStop();
    return this.drainDone;
  }

  private async finishAndStop(): Promise<void> {
    this.logger.info('Draining.');
    this.draining = true;
    await this.untilDeregistered();
    await this.entry.activeRequests.untilIdle();
    await this.entry.options.orders.untilSettled();
    await this.control.transferLeadership();
    this.logger.info('Drained.', { grantsLeft: this.owner.grantsInUse });
    await this.stop();
  }

  /**
   * Resolves once the shared state no longer lists this node, so that other nodes own its replicas.
   * Streams under its grants continue, because entry nodes read them from the engines and not
   * through the owner.
   */
  private async untilDeregistered(): Promise<void> {
    const { clock } = this.o;
    const deadline = clock.now() + deregistrationTimeoutMs;
    // Without a lease, this node reaches no leader that could remove it.
    while (this.history.state.nodes.has(this.id) && this.lease.valid && clock.now() < deadline) {
      const leftMs = Math.min(deadline - clock.now(), this.lease.leftMs);
      await this.history.changed.waitUpTo(leftMs, clock);
    }
  }

  /** Stops the node immediately and closes the connections of requests in progress. */
  stop(): Promise<void> {
    this.stopDone ??= this.shutDown();
    return this.stopDone;
  }

  private async shutDown(): Promise<void> {
    this.stopping.abort();
    this.proposer.stop();
    this.callers.closeAllConnections();
    this.operators.closeAllConnections();
    await Promise.all([close(this.callers), close(this.operators), this.control.stop()]);
    await this.transport.close();
    await this.tasks.join();
    await this.pool.destroy();
    this.metrics.close();
  }

  private async openAll(): Promise<Result<void, StartError>> {
    const listening = await this.openListeners();
    return listening.isOk() ? this.control.openStore() : listening;
  }

  private async openListeners(): Promise<Result<void, StartError>> {
    const { node } = this.o.settings;
    const peer = await this.listenForPeers(node.peer);
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
    return ok(undefined);
  }

  private async listenForPeers(address: string): Promise<Result<string, Error>> {
    const { host, port } = parseHostPort(address);
    const opened = await this.transport.listen(host, port);
    return opened.map((p) => withPort(address, p));
  }

  private createTransport(): TcpTransport {
    const { settings, clock, logger, onBroken } = this.o;
    return TcpTransport.create({
      self: settings.node.id,
      cluster: settings.cluster,
      resolve: (node) => this.directory.peerAddress(node),
      clock,
      logger: logger.part('peers'),
      onBroken,
    });
  }

  private votersLeaderFirst(): readonly NodeId[] {
    return leaderFirst(this.control.voters, this.control.followedLeader);
  }

  private createUpstreams(): UpstreamRegistry {
    return UpstreamRegistry.create({
      self: this.id,
      history: this.history,
      proposer: this.proposer,
      transport: this.transport,
      lease: this.lease,
      clock: this.o.clock,
      logger: this.logger.part('upstreams'),
    });
  }

  private createDirectory(): Directory {
    return Directory.create({
      clock: this.o.clock,
      loads: this.control.loads,
      settings: this.o.settings,
      state: this.history.state,
      upstreams: this.upstreams,
      ownership: this.ownership,
      isClosed: () => !this.ready,
    });
  }

  private createOwnership(): Ownership {
    const { clock, settings } = this.o;
    const { id: self, incarnation, history, transport } = this;
    return Ownership.create({
      self,
      incarnation,
      history,
      transport,
      clock,
      timing: settings.timing,
    });
  }

  private createControl(): ControlPlane {
    const { settings, clock, logger, onBroken } = this.o;
    const { incarnation, transport, history, proposer } = this;
    return ControlPlane.create({
      settings,
      address: () => this.address,
      incarnation,
      transport,
      history,
      proposer,
      clock,
      logger,
      draining: () => this.draining,
      load: () => this.entry.activeRequests.count,
      disk: this.o.disk,
      onBroken,
    });
  }

  private createOwner(): Owner {
    return Owner.create({
      self: this.id,
      state: this.history.state,
      clock: this.o.clock,
      transport: this.transport,
      canGrant: () => this.ready,
      owns: (replica) => this.ownership.canGrant(replica),
      isLeaving: (upstream) => this.upstreams.isLeaving(upstream.id),
    });
  }

  private placementOptions() {
    const { settings, clock } = this.o;
    return {
      self: this.id,
      state: this.history.state,
      proposals: this.proposer,
      transport: this.transport,
      placements: HttpPlacementClient.create(this.pool),
      clock,
      logger: this.logger.part('placement'),
      metrics: this.metrics,
      isLeader: () => this.control.isLeader,
      checksFencing: (id: string) => checksFencing(settings, id),
      loadLimit: settings.upstreams.loadsAtOnce,
      longestLeaseMs: longestLeaseMs(settings.timing),
    };
  }

  private gaugeSource() {
    const { metrics, lease, owner, entry } = this;
    const { state } = this.history;
    return { clock: this.o.clock, metrics, lease, state, owner, inProgress: entry.activeRequests };
  }

  private createLimits(): NodeLimits {
    const { id: self, transport, history } = this;
    return NodeLimits.create({ self, clock: this.o.clock, transport, history });
  }

  private parts(): NodeParts {
    const { settings, clock, logger } = this.o;
    const { lease, proposer, transport, directory, upstreams, control, limits, pool, metrics } =
      this;
    return {
      settings,
      state: this.history.state,
      lease,
      proposer,
      transport,
      directory,
      upstreams,
      control,
      limits,
      owner: this.owner,
      pool,
      clock,
      logger,
      metrics,
      upstreamKey: this.o.upstreamKey,
      draining: () => this.draining,
    };
  }

  private operatorOptions(parts: NodeParts) {
    const { proposer, progress } = this;
    return {
      self: this.id,
      key: this.o.operatorKey,
      state: this.history.state,
      proposer,
      progress,
      transport: this.transport,
      leader: () => this.control.leader,
      clock: this.o.clock,
      status: () => statusOf(parts),
      drain: () => this.drainRequested.ring(),
    };
  }
}

function statsdOf(settings: Settings) {
  const { statsd } = settings.metrics;
  return statsd === undefined ? undefined : parseHostPort(statsd);
}

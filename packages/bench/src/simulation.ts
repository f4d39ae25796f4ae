/** An end-to-end simulation in virtual time of nodes, upstreams and callers. */

import {
  AccountId,
  ModelId,
  PriceListId,
  RequestId,
  SeededRandom,
  ServiceId,
  StatsdMetrics,
  TierId,
  HeldClock,
  digestOf,
  invariant,
} from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { GenerationRequest } from '@tanagercart/dispatch';
import { submitReleaseNote } from '@tanagercart/membership';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { ReleaseParts } from '@tanagercart/release';
import { SimulatedUpstreams, layers, tokenAt } from './simulatedupstreams.js';
import type { SimulatedUpstream } from './simulatedupstreams.js';
import { startSimulatedNode } from './simulatednode.js';
import type { SimulatedNode, SharedParts } from './simulatednode.js';

const dataCentres = ['north', 'east', 'west'];

/** Delay before a caller retries after a refusal or the loss of its entry, in milliseconds. */
const retryMs: Millis = 50;

/** Delay before an upstream repeats an announcement that no node received, in milliseconds. */
const announceRetryMs: Millis = 200;

/** Number of tokens of an answer. */
const answerTokens = 60;

/** A caller, and the tokens that it has received of its present answer. */
export interface Caller {
  prompt: string;
  entry: SimulatedNode | undefined;
  received: string[];
  lastTokenAt: Millis;
}

/** A simulated deployment and its callers. */
export class Simulation {
  readonly clock = HeldClock.create();
  readonly metrics = StatsdMetrics.create();
  readonly world = SimulatedUpstreams.create(this.clock);
  readonly nodes = new Map<string, SimulatedNode>();
  readonly callers: Caller[] = [];
  /** Virtual time at which each token reached its caller. */
  readonly tokenTimes: Millis[] = [];
  /** Number of complete answers. */
  answers = 0;
  /** Requests that were quarantined because two upstreams died while running them. */
  quarantinedRequests = 0;
  /** The first error of a background task. */
  taskError: unknown;
  readonly net: MemoryNetwork;
  /** Number of the newest release that was reported in force everywhere. */
  reportedInForce = 0;
  /** Digest of the accepted release note, by release number. */
  readonly acceptedDigests = new Map<number, string>();
  private readonly shared: SharedParts;
  private stopped = false;

  private constructor(
    readonly random: SeededRandom,
    private readonly nodeCount: number,
  ) {
    const { clock, metrics, world } = this;
    this.net = MemoryNetwork.create(clock, random);
    this.net.setQuality({ delayMs: 0.5, jitterMs: 0.5, loss: 0 });
    this.shared = { net: this.net, clock, metrics, world };
  }

  /**
   * Starts nodes and replicas of two stages each, submits the first release note, and advances the
   * time until all serve.
   */
  static async start(seed: number, nodeCount: number, replicas: number): Promise<Simulation> {
    const simulation = new Simulation(SeededRandom.create(seed), nodeCount);
    for (let i = 0; i < nodeCount; i += 1) simulation.startNode(`n${i + 1}`);
    for (let i = 0; i < replicas; i += 1) {
      for (const half of [0, 1] as const) {
        simulation.sendAnnouncements(
          simulation.world.addStage(`s${i}${half}`, half, dataCentreOf(i)),
        );
      }
    }
    for (let i = 0; i < dataCentres.length; i += 1) {
      simulation.sendAnnouncements(simulation.world.addDesk(`desk${i}`, dataCentreOf(i)));
    }
    await simulation.clock.advance(6000);
    const digest = digestOf('note');
    const command = { kind: 'accept-release', note: firstNote(), digest, at: 0 } as const;
    void submitReleaseNote(
      [...simulation.nodes.values()][0]!.proposer,
      simulation.clock,
      command,
      10_000,
    );
    await simulation.clock.advance(5000);
    return simulation;
  }

  /** The node that holds the leader lease, if any. */
  get leader(): SimulatedNode | undefined {
    return [...this.nodes.values()].find((n) => !n.life.signal.aborted && n.isLeader());
  }

  /** Starts a node, or restarts it with its disk. */
  startNode(name: string): void {
    const before = this.nodes.get(name);
    const dataCentre = dataCentreOf(Number(name.slice(1)) - 1);
    this.nodes.set(name, startSimulatedNode(this.shared, name, dataCentre, before?.disk));
  }

  /** Kills a node's process; its callers lose their connections. */
  killNode(name: string): void {
    const node = this.nodes.get(name);
    if (node && !node.life.signal.aborted) void node.kill();
  }

  /** Kills an upstream, which does not announce that it leaves. */
  killUpstream(id: string): void {
    this.world.upstreams.get(id)!.alive = false;
  }

  /** Restarts a stage that was killed, as a new incarnation. */
  restartStage(id: string): void {
    const { alive, announcement } = this.world.upstreams.get(id)!;
    if (alive || announcement.role.kind !== 'stage') return;
    const half = announcement.role.from === 0 ? 0 : 1;
    const incarnation = `${id}@${this.clock.now()}`;
    this.sendAnnouncements(this.world.addStage(id, half, announcement.dataCentre, incarnation));
  }

  /** Adds callers that send one request after another until the simulation stops. */
  addCallers(count: number): void {
    for (let i = 0; i < count; i += 1) {
      const caller = { prompt: '', entry: undefined, received: [], lastTokenAt: 0 };
      this.callers.push(caller);
      this.trackTask(this.runCaller(caller, this.callers.length));
    }
  }

  /** Stops all nodes and callers. */
  async stop(): Promise<void> {
    this.stopped = true;
    for (const name of this.nodes.keys()) this.killNode(name);
    await this.clock.advance(5000);
  }

  /**
   * Returns a random node that is ready, or undefined if there is none. Throws if a ready node has
   * an older release than one that was reported in force everywhere.
   */
  pickReadyNode(): SimulatedNode | undefined {
    const ready = [...this.nodes.values()].filter((n) => n.ready());
    for (const { history } of ready) {
      const { number } = history.state.release;
      invariant(
        number >= this.reportedInForce,
        'a ready node has the release that was reported in force',
      );
    }
    return ready[Math.floor(this.random.next() * ready.length)];
  }

  /** Submits a release note through a node and waits until the release is in force. */
  async submit(node: SimulatedNode, author: string): Promise<void> {
    const number = node.history.state.release.number + 1;
    const note = { ...firstNote(), number, author, added: noParts };
    const digest = digestOf(`${number} ${author}`);
    const command = { kind: 'accept-release', note, digest, at: 0 } as const;
    const submitted = await submitReleaseNote(node.proposer, this.clock, command, 5000);
    if (submitted.isErr() || submitted.value.outcome.kind !== 'release-accepted') return;
    const acceptedDigest = this.acceptedDigests.get(number) ?? digest;
    invariant(acceptedDigest === digest, 'one note is accepted for a release number');
    this.acceptedDigests.set(number, digest);
    const progress = await node.progress.waitUntilInForce(submitted.value.index, 6000);
    if (progress.kind === 'in-force' && !node.life.signal.aborted) {
      this.reportedInForce = Math.max(this.reportedInForce, number);
    }
  }

  /** Records the first error of a background task. */
  trackTask(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.taskError ??= error;
    });
  }

  private async runCaller(caller: Caller, number: number): Promise<void> {
    for (let n = 0; !this.stopped; n += 1) {
      Object.assign(caller, { prompt: `p${number}-${n}`, received: [] });
      while (!this.stopped && !(await this.requestRest(caller))) await this.clock.sleep(retryMs);
      if (!this.stopped) this.answers += 1;
    }
  }

  /** Requests the rest of an answer from a ready node. Returns whether the request has ended. */
  private async requestRest(caller: Caller): Promise<boolean> {
    const entry = this.pickReadyNode();
    if (!entry) return false;
    caller.entry = entry;
    const request = this.generationRequestOf(caller, entry);
    if (!request) return false;
    for await (const piece of entry.dispatch.generate(request, entry.life.signal)) {
      if (entry.life.signal.aborted) return false;
      if (piece.kind === 'refused') {
        if (piece.refusal.reason !== 'quarantined') return false;
        this.quarantinedRequests += 1;
        return true;
      }
      if (piece.kind === 'end') {
        invariant(caller.received.length === answerTokens, 'an answer that ends is complete');
        return true;
      }
      invariant(piece.index === caller.received.length, 'a caller receives tokens in order');
      for (const token of piece.tokens) {
        const isExpected = token === tokenAt(caller.prompt, caller.received.length);
        invariant(isExpected, 'a caller receives each token of its answer once');
        caller.received.push(token);
      }
      caller.lastTokenAt = this.clock.now();
      this.tokenTimes.push(caller.lastTokenAt);
    }
    return false;
  }

  private generationRequestOf(caller: Caller, entry: SimulatedNode): GenerationRequest | undefined {
    const { release } = entry.history.state;
    const account = release.clientAccounts.get(AccountId('grower'));
    const model = release.models.get(ModelId('fig'));
    const tier = account && release.tierOf(account);
    if (!account || !model || !tier) return undefined;
    return {
      id: RequestId(`${caller.prompt}/${caller.received.length}/${this.clock.now()}`),
      account,
      tier,
      model,
      version: '1',
      adapter: undefined,
      release: release.number,
      prompt: caller.prompt,
      seed: 1,
      maxTokens: answerTokens,
      passed: [...caller.received],
    };
  }

  /** Sends announcements of an upstream to random nodes until it dies. */
  private sendAnnouncements(upstream: SimulatedUpstream): void {
    const run = async () => {
      while (!this.stopped && upstream.alive) {
        const entry = this.pickReadyNode();
        const reply = await entry?.upstreams.handleAnnouncement(upstream.announcement);
        await this.clock.sleep(reply?.heartbeatMs ?? announceRetryMs);
      }
    };
    this.trackTask(run());
  }

  /** Ids of the nodes in a data centre. */
  nodesIn(dataCentre: string): readonly string[] {
    return [...this.nodes.values()].filter((n) => n.dataCentre === dataCentre).map((n) => n.id);
  }

  /** Number of nodes, running or not. */
  get size(): number {
    return this.nodeCount;
  }
}

function dataCentreOf(i: number): string {
  return dataCentres[i % dataCentres.length]!;
}

const noParts: ReleaseParts = { priceLists: [], clientAccounts: [], models: [], services: [] };

/** The first release note: one tier, account, model and service. */
function firstNote() {
  const tier = {
    id: TierId('office'),
    urgency: 0,
    price: 1,
    firstTokenMs: 2000,
    tokenGapMs: 400,
    concurrency: 1000,
    requestsPerSecond: 1000,
    tokensPerSecond: 1e6,
    retryBudget: 0.1,
  };
  const priceList = PriceListId('list');
  const account = {
    id: AccountId('grower'),
    priceList,
    defaultTier: tier.id,
    keyDigest: digestOf('key'),
    weight: 1,
  };
  const call = { method: 'POST', path: '/', repeatable: false };
  const added: ReleaseParts = {
    priceLists: [{ id: priceList, tiers: [tier] }],
    clientAccounts: [account],
    models: [{ id: ModelId('fig'), layers, versions: ['1'], adapters: [] }],
    services: [{ id: ServiceId('desk'), calls: [call] }],
  };
  const withdrawn = { priceLists: [], clientAccounts: [], models: [], services: [] };
  return { number: 1, author: 'bench', added, changed: noParts, withdrawn };
}

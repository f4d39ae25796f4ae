/** The whole path in held time: nodes, upstreams that announce themselves, and callers. */

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
import { EngineWorld, layers, tokenAt } from './engineworld.js';
import type { WorldUpstream } from './engineworld.js';
import { startWholeNode } from './wholenode.js';
import type { WholeNode, WholeShared } from './wholenode.js';

const dataCentres = ['north', 'east', 'west'];

/** Pause of a caller after a refusal or a lost entry, in milliseconds. */
const againMs: Millis = 50;

/** Pause of an upstream whose announcement nobody took, in milliseconds. */
const announceAgainMs: Millis = 200;

/** Tokens of one answer. */
const answerTokens = 60;

/** One caller and what it has of its answer. */
export interface Caller {
  prompt: string;
  entry: WholeNode | undefined;
  received: string[];
  lastTokenAt: Millis;
}

/** A whole deployment. */
export class Simulation {
  readonly clock = HeldClock.create();
  readonly metrics = StatsdMetrics.create();
  readonly world = EngineWorld.create(this.clock);
  readonly nodes = new Map<string, WholeNode>();
  readonly callers: Caller[] = [];
  /** When each token came to its caller. */
  readonly tokenTimes: Millis[] = [];
  answers = 0;
  /** Requests given up since they ran on two upstreams that died. */
  quarantinedRequests = 0;
  /** The first error of a task. */
  taskError: unknown;
  readonly net: MemoryNetwork;
  /** The release that was last reported in force everywhere. */
  reportedInForce = 0;
  /** The digest under which each number was accepted. */
  readonly accepted = new Map<number, string>();
  private readonly shared: WholeShared;
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

  /** Starts nodes and replicas of two stages, and waits until all serve. */
  static async start(seed: number, nodeCount: number, replicas: number): Promise<Simulation> {
    const whole = new Simulation(SeededRandom.create(seed), nodeCount);
    for (let i = 0; i < nodeCount; i += 1) whole.startNode(`n${i + 1}`);
    for (let i = 0; i < replicas; i += 1) {
      for (const half of [0, 1] as const) {
        whole.announce(whole.world.addStage(`s${i}${half}`, half, centreOf(i)));
      }
    }
    for (let i = 0; i < dataCentres.length; i += 1) {
      whole.announce(whole.world.addDesk(`desk${i}`, centreOf(i)));
    }
    await whole.clock.advance(6000);
    const digest = digestOf('note');
    const command = { kind: 'accept-release', note: noteOf(), digest, at: 0 } as const;
    void submitReleaseNote([...whole.nodes.values()][0]!.proposer, whole.clock, command, 10_000);
    await whole.clock.advance(5000);
    return whole;
  }

  /** The node that leads, if any. */
  get leader(): WholeNode | undefined {
    return [...this.nodes.values()].find((n) => !n.life.signal.aborted && n.leads());
  }

  /** Starts a node, or starts it again with its disk. */
  startNode(name: string): void {
    const before = this.nodes.get(name);
    const dataCentre = centreOf(Number(name.slice(1)) - 1);
    this.nodes.set(name, startWholeNode(this.shared, name, dataCentre, before?.disk));
  }

  /** Ends a node's process; its callers lose their connections. */
  killNode(name: string): void {
    const node = this.nodes.get(name);
    if (node && !node.life.signal.aborted) void node.kill();
  }

  /** Kills an upstream without a word. */
  killUpstream(id: string): void {
    this.world.upstreams.get(id)!.alive = false;
  }

  /** Starts a stage again. */
  restartStage(id: string): void {
    const { alive, announcement } = this.world.upstreams.get(id)!;
    if (alive || announcement.role.kind !== 'stage') return;
    const half = announcement.role.from === 0 ? 0 : 1;
    const incarnation = `${id}@${this.clock.now()}`;
    this.announce(this.world.addStage(id, half, announcement.dataCentre, incarnation));
  }

  /** Lets callers ask again and again until the end. */
  addCallers(count: number): void {
    for (let i = 0; i < count; i += 1) {
      const caller = { prompt: '', entry: undefined, received: [], lastTokenAt: 0 };
      this.callers.push(caller);
      this.trackTask(this.call(caller, this.callers.length));
    }
  }

  /** Ends all nodes and callers. */
  async stop(): Promise<void> {
    this.stopped = true;
    for (const name of this.nodes.keys()) this.killNode(name);
    await this.clock.advance(5000);
  }

  /** A node that a caller finds ready. */
  pickReadyNode(): WholeNode | undefined {
    const ready = [...this.nodes.values()].filter((n) => n.ready());
    for (const { history } of ready) {
      const { number } = history.state.release;
      invariant(
        number >= this.reportedInForce,
        'no node takes work under a release older than reported',
      );
    }
    return ready[Math.floor(this.random.next() * ready.length)];
  }

  /** Submits the next note of `author` through a node, and waits until it is in force. */
  async submit(node: WholeNode, author: string): Promise<void> {
    const number = node.history.state.release.number + 1;
    const note = { ...noteOf(), number, author, added: nothing };
    const digest = digestOf(`${number} ${author}`);
    const command = { kind: 'accept-release', note, digest, at: 0 } as const;
    const submitted = await submitReleaseNote(node.proposer, this.clock, command, 5000);
    if (submitted.isErr() || submitted.value.outcome.kind !== 'release-accepted') return;
    const known = this.accepted.get(number) ?? digest;
    invariant(known === digest, 'one note is accepted under a number');
    this.accepted.set(number, digest);
    const spread = await node.progress.waitUntilInForce(submitted.value.index, 6000);
    if (spread.kind === 'in-force' && !node.life.signal.aborted) {
      this.reportedInForce = Math.max(this.reportedInForce, number);
    }
  }

  /** Keeps the first error of a task that nothing waits for. */
  trackTask(task: Promise<void>): void {
    task.catch((error: unknown) => {
      this.taskError ??= error;
    });
  }

  private async call(caller: Caller, number: number): Promise<void> {
    for (let n = 0; !this.stopped; n += 1) {
      Object.assign(caller, { prompt: `p${number}-${n}`, received: [] });
      while (!this.stopped && !(await this.ask(caller))) await this.clock.sleep(againMs);
      if (!this.stopped) this.answers += 1;
    }
  }

  /** Asks for the rest of an answer at any entry; whether the answer is whole. */
  private async ask(caller: Caller): Promise<boolean> {
    const entry = this.pickReadyNode();
    if (!entry) return false;
    caller.entry = entry;
    const g = this.generationOf(caller, entry);
    if (!g) return false;
    for await (const piece of entry.dispatch.generate(g, entry.life.signal)) {
      if (entry.life.signal.aborted) return false;
      if (piece.kind === 'refused') {
        if (piece.refusal.reason !== 'quarantined') return false;
        this.quarantinedRequests += 1;
        return true;
      }
      if (piece.kind === 'end') {
        invariant(caller.received.length === answerTokens, 'an answer that ends is whole');
        return true;
      }
      invariant(piece.index === caller.received.length, 'a caller has each token in order');
      for (const token of piece.tokens) {
        const own = token === tokenAt(caller.prompt, caller.received.length);
        invariant(own, 'a caller has each token of its own answer once');
        caller.received.push(token);
      }
      caller.lastTokenAt = this.clock.now();
      this.tokenTimes.push(caller.lastTokenAt);
    }
    return false;
  }

  private generationOf(caller: Caller, entry: WholeNode): GenerationRequest | undefined {
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

  private announce(upstream: WorldUpstream): void {
    const run = async () => {
      while (!this.stopped && upstream.alive) {
        const entry = this.pickReadyNode();
        const reply = await entry?.upstreams.handleAnnouncement(upstream.announcement);
        await this.clock.sleep(reply?.heartbeatMs ?? announceAgainMs);
      }
    };
    this.trackTask(run());
  }

  /** Names of the nodes in one data centre. */
  nodesIn(dataCentre: string): readonly string[] {
    return [...this.nodes.values()].filter((n) => n.dataCentre === dataCentre).map((n) => n.id);
  }

  /** Nodes that the deployment has, up or not. */
  get size(): number {
    return this.nodeCount;
  }
}

function centreOf(i: number): string {
  return dataCentres[i % dataCentres.length]!;
}

const nothing: ReleaseParts = { priceLists: [], clientAccounts: [], models: [], services: [] };

function noteOf() {
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
  return { number: 1, author: 'bench', added, changed: nothing, withdrawn };
}

/**
 * Bench `entries`: how evenly callers are distributed over the entry nodes while demand grows
 * fourfold within two seconds (the swing) and callers still use recommendations from before.
 */

import { DataCentreId, Heap, HeldClock, NodeId, SeededRandom, rendezvous } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { EntryAdvisor } from '@tanagercart/routing';
import type { EntryCaller, EntryRecommendation } from '@tanagercart/routing';
import type { Figure, Report, Target } from './report.js';

const dataCentres = ['north', 'east', 'west'];
const nodeNames = Array.from({ length: 8 }, (_, i) => NodeId(`n${i + 1}`));
const nodes = nodeNames.map((id, i) => ({ id, dataCentre: DataCentreId(dataCentres[i % 3]!) }));

/** Fraction of the calm demand that each account sends; the first three accounts are large. */
const accountShares = [0.22, 0.18, 0.14, 0.08, 0.08, 0.07, 0.07, 0.06, 0.05, 0.05];

/** Number of callers of a large account, and of a small one. */
const [largeCallers, smallCallers] = [40, 8];

/** Requests per second before the swing. */
const calmRequestsPerSecond = 30;

/** Factor by which demand grows; all growth comes from the large accounts. */
const peakFactor = 4;

/** Mean duration of a request, in milliseconds. */
const meanRequestMs: Millis = 8000;

/** Age of the loads that nodes have of each other, in milliseconds. */
const loadReportLagMs: Millis = 1000;

/** How long callers use a recommendation of a baseline policy, in milliseconds. */
const holdMs: Millis = 30_000;

/**
 * Times in milliseconds: start and duration of the swing, end of the run, simulation step, and
 * width of a measured window.
 */
const [swingAt, swingMs, endAt, stepMs, windowMs] = [90_000, 2000, 150_000, 50, 5000];

/** Target: limit on the load of the busiest node relative to the mean. */
const atMost: Target = { kind: 'at-most', value: 1.3 };

/** A policy that assigns callers to entry nodes. */
interface Policy {
  readonly name: string;
  readonly target?: Target;
  /** The recommendation for a caller that asks the node `at`. */
  readonly recommend: (s: Simulation, at: NodeId, caller: EntryCaller) => EntryRecommendation;
  /** The recommendation to move, if any, that the node `at` adds to an answer to a caller. */
  readonly recommendMove?: (
    s: Simulation,
    at: NodeId,
    caller: EntryCaller,
  ) => EntryRecommendation | undefined;
}

/** One caller. It uses its current entry node and asks this node for a new one from `askAt` on. */
interface SimulatedCaller {
  readonly identity: EntryCaller;
  readonly large: boolean;
  readonly requestsPerSecond: number;
  entry: NodeId;
  askAt: Millis;
}

const fixedRecommendation = (entry: NodeId): EntryRecommendation => ({
  entries: [entry],
  lifetimeMs: holdMs,
});

const policies: readonly Policy[] = [
  {
    name: 'guide',
    target: atMost,
    recommend: (s, at, caller) => s.advisorOf(at).recommend(caller),
    recommendMove: (s, at, caller) => s.advisorOf(at).recommendMove(caller),
  },
  {
    name: 'guide, callers that do not tell what they hold',
    recommend: (s, at, caller) => s.advisorOf(at).recommend({ ...caller, currentEntry: undefined }),
    recommendMove: (s, at, caller) => s.advisorOf(at).recommendMove(caller),
  },
  {
    name: 'guide, callers that heed no advice',
    recommend: (s, at, caller) => s.advisorOf(at).recommend(caller),
  },
  {
    name: 'rendezvous by account',
    recommend: (_, __, { account }) => fixedRecommendation(rendezvous(account, nodeNames)[0]!),
  },
  {
    name: 'random',
    recommend: (s) =>
      fixedRecommendation(nodeNames[Math.floor(s.random.next() * nodeNames.length)]!),
  },
  {
    name: 'least loaded on lagged reports',
    recommend: (s) =>
      fixedRecommendation([...nodeNames].sort((a, b) => s.reportedLoad(a) - s.reportedLoad(b))[0]!),
  },
];

/** Measures every policy with the same swing. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const policy of policies) figures.push(...(await Simulation.create(policy, seed).run()));
  return { bench: 'entries', seed, figures };
}

/** The simulation of one policy. */
class Simulation {
  readonly random: SeededRandom;
  private readonly clock = HeldClock.create();
  private readonly load = new Map<NodeId, number>(nodeNames.map((n) => [n, 0]));
  private readonly reports: Map<NodeId, number>[] = [];
  private readonly advisors: ReadonlyMap<NodeId, EntryAdvisor>;
  private readonly requestEnds = Heap.create<{ readonly at: Millis; readonly node: NodeId }>(
    (a, b) => a.at < b.at,
  );
  private readonly callers: readonly SimulatedCaller[];
  private readonly windows: Map<NodeId, number>[] = [];
  private moves = 0;
  private answers = 0;

  private constructor(
    private readonly policy: Policy,
    seed: number,
  ) {
    this.random = SeededRandom.create(seed);
    this.advisors = new Map(nodeNames.map((n) => [n, this.createAdvisor(n)]));
    this.callers = accountShares.flatMap((share, i) => this.createCallers(share, i));
  }

  static create(policy: Policy, seed: number): Simulation {
    return new Simulation(policy, seed);
  }

  advisorOf(node: NodeId): EntryAdvisor {
    return this.advisors.get(node)!;
  }

  /** The load of a node as the other nodes see it, `loadReportLagMs` ago. */
  reportedLoad(node: NodeId): number {
    return this.reports[0]?.get(node) ?? 0;
  }

  async run(): Promise<readonly Figure[]> {
    for (let t = 0; t < endAt; t += stepMs) {
      await this.clock.advance(stepMs);
      this.endRequests();
      for (const client of this.callers) this.maySend(client);
      this.recordLoads();
      this.accumulateLoads();
    }
    return this.figures();
  }

  private createAdvisor(self: NodeId): EntryAdvisor {
    const load = (n: NodeId) => (n === self ? this.load.get(n)! : this.reportedLoad(n));
    return EntryAdvisor.create({ self, clock: this.clock, nodes: () => nodes, load });
  }

  private createCallers(share: number, account: number): readonly SimulatedCaller[] {
    const large = account < 3;
    const count = large ? largeCallers : smallCallers;
    return Array.from({ length: count }, (_, i) => ({
      identity: {
        account: `account-${account}`,
        share: 1 / accountShares.length,
        name: `caller-${account}-${i}`,
        near: dataCentres[i % dataCentres.length],
      },
      large,
      requestsPerSecond: (share * calmRequestsPerSecond) / count,
      entry: nodeNames[Math.floor(this.random.next() * nodeNames.length)]!,
      // Staggers the callers, as they do not all start at the same time.
      askAt: this.random.next() * holdMs,
    }));
  }

  /** Sends one request with the probability that the rate of the caller gives for one step. */
  private maySend(client: SimulatedCaller): void {
    const now = this.clock.now();
    const p = (client.requestsPerSecond * this.demandFactorOf(client) * stepMs) / 1000;
    if (this.random.next() >= p) return;
    const caller = { ...client.identity, currentEntry: client.entry };
    if (client.askAt <= now) this.follow(client, this.policy.recommend(this, client.entry, caller));
    const { entry } = client;
    this.load.set(entry, this.load.get(entry)! + 1);
    this.requestEnds.push({
      at: now - Math.log(1 - this.random.next()) * meanRequestMs,
      node: entry,
    });
    const advice = this.policy.recommendMove?.(this, entry, caller);
    if (advice) this.follow(client, advice);
  }

  /** Moves a caller to the recommended entry node; counts moves while demand is calm. */
  private follow(client: SimulatedCaller, { entries, lifetimeMs }: EntryRecommendation): void {
    const entry = entries[0]!;
    if (this.clock.now() >= holdMs && this.clock.now() < swingAt) {
      this.answers += 1;
      if (entry !== client.entry) this.moves += 1;
    }
    Object.assign(client, { entry, until: this.clock.now() + lifetimeMs });
  }

  /** Current demand of a caller relative to calm demand. */
  private demandFactorOf(client: SimulatedCaller): number {
    if (!client.large) return 1;
    const largeShare = accountShares.slice(0, 3).reduce((a, b) => a + b, 0);
    const full = (peakFactor - 1 + largeShare) / largeShare;
    const part = Math.min(1, Math.max(0, (this.clock.now() - swingAt) / swingMs));
    return 1 + (full - 1) * part;
  }

  private endRequests(): void {
    for (let next = this.requestEnds.peek(); next && next.at <= this.clock.now();) {
      this.requestEnds.pop();
      this.load.set(next.node, this.load.get(next.node)! - 1);
      next = this.requestEnds.peek();
    }
  }

  private recordLoads(): void {
    this.reports.push(new Map(this.load));
    if (this.reports.length > loadReportLagMs / stepMs) this.reports.shift();
  }

  private accumulateLoads(): void {
    const now = this.clock.now();
    if (now % windowMs === 0 || this.windows.length === 0) this.windows.push(new Map());
    const window = this.windows.at(-1)!;
    for (const [n, load] of this.load) window.set(n, (window.get(n) ?? 0) + load);
  }

  private figures(): readonly Figure[] {
    const from = swingAt / windowMs;
    const crest = this.windows.slice(from);
    const calm = this.windows.slice(holdMs / windowMs, from);
    const { name, target } = this.policy;
    const bound = target ? { target } : {};
    return [
      { name: `${name}: calm`, value: busiestToMean(calm), unit: 'busiest to mean' },
      { name: `${name}: swing`, value: busiestToMean(crest), unit: 'busiest to mean', ...bound },
      {
        name: `${name}: worst ${windowMs / 1000} s of the swing`,
        value: Math.max(...crest.map((w) => busiestToMean([w]))),
        unit: 'busiest to mean',
        ...bound,
      },
      {
        name: `${name}: calm answers that move the caller`,
        value: this.moves / Math.max(1, this.answers),
        unit: 'share',
      },
    ];
  }
}

/** Load of the busiest node relative to the mean load, summed over the windows. */
function busiestToMean(windows: readonly ReadonlyMap<NodeId, number>[]): number {
  const work = nodeNames.map((n) => windows.reduce((sum, w) => sum + (w.get(n) ?? 0), 0));
  return Math.max(...work) / (work.reduce((a, b) => a + b, 0) / work.length);
}

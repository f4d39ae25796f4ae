/**
 * Bench `limits`: limits of one account and tier that are enforced across all nodes. Measures by
 * how much admissions exceed the limits, the convergence after demand moves to other nodes, and the
 * traffic between nodes. The baseline gives each node a fixed share.
 */

import { setMaxListeners } from 'node:events';
import { AccountId, HeldClock, NodeId, SeededRandom, TierId, rendezvous } from '@tanagercart/base';
import type { Random } from '@tanagercart/base';
import { Bucket, Limiter, QuotaServer } from '@tanagercart/limits';
import type { Quota } from '@tanagercart/limits';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { Figure, Report } from './report.js';

const account = AccountId('large');
const tier = TierId('urgent');
const quota: Quota = { concurrency: 40, requestsPerSecond: 100, tokensPerSecond: 20_000 };

/** Demand as a multiple of the requests per second that the quota admits. */
const demandFactor = 3;

/**
 * Duration of a request, in milliseconds, and its tokens: it is admitted with `expectedTokens` and
 * uses up to `extraTokens` more.
 */
const requestDurationMs = 400;
const expectedTokens = 100;
const extraTokens = 100;

/** Times in milliseconds: demand moves from one half of the nodes to the other; the run ends. */
const shiftMs = 8000;
const endMs = 16_000;

/** Width of the windows in which admissions are counted, in milliseconds. */
const windowMs = 250;

/** The result of one run. */
interface Run {
  /** Requests admitted in each window. */
  readonly admitted: number[];
  /** Tokens used by the requests admitted in each window. */
  readonly tokens: number[];
  peakConcurrency: number;
  readonly bytes: number;
  readonly offered: number;
}

/** The limiter of one node: `admit` returns undefined if it rejects a request. */
interface NodeLimiter {
  readonly admit: (tokens: number) => Promise<Settle | undefined>;
}

/** Called at the end of an admitted request with the tokens that it used. */
type Settle = (tokens: number) => void;

/** Measures fleets of 8 and 64 nodes, each with shared limits and with the baseline. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const nodes of [8, 64]) {
    figures.push(...figuresOf(`${nodes} nodes`, nodes, await runFleet(nodes, seed, sharedLimits)));
    const fixed = await runFleet(nodes, seed, fixedShares);
    figures.push(...baselineFigures(`${nodes} nodes, fixed shares`, fixed));
  }
  return { bench: 'limits', seed, figures };
}

async function runFleet(count: number, seed: number, create: CreateLimiter): Promise<Run> {
  const clock = HeldClock.create();
  const random = SeededRandom.create(seed);
  const network = MemoryNetwork.create(clock, random);
  const names = Array.from({ length: count }, (_, i) => NodeId(`n${i}`));
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const limiters = names.map((self) => create(self, names, network, clock, stop.signal));
  const windows = Math.ceil(endMs / windowMs);
  const state = { running: 0, offered: 0 };
  const result = {
    admitted: Array.from({ length: windows }, () => 0),
    tokens: Array.from({ length: windows }, () => 0),
    peakConcurrency: 0,
  };
  const send = async (limiter: NodeLimiter) => {
    state.offered += 1;
    const admitted = await limiter.admit(expectedTokens);
    if (!admitted) {
      return;
    }
    const at = Math.min(windows - 1, Math.floor(clock.now() / windowMs));
    const tokens = Math.floor(expectedTokens + extraTokens * random.next());
    result.admitted[at]! += 1;
    result.tokens[at]! += tokens;
    state.running += 1;
    result.peakConcurrency = Math.max(result.peakConcurrency, state.running);
    await clock.sleep(requestDurationMs);
    state.running -= 1;
    admitted(tokens);
  };
  const offered = offerLoad(clock, random, limiters, send);
  await clock.advance(endMs);
  await offered;
  stop.abort();
  const bytes = [...network.sentBytes.values()].reduce((a, b) => a + b, 0);
  return { ...result, bytes, offered: state.offered };
}

/** Creates the limiter of the node `self`. */
type CreateLimiter = (
  self: NodeId,
  names: readonly NodeId[],
  network: MemoryNetwork,
  clock: HeldClock,
  signal: AbortSignal,
) => NodeLimiter;

/** The limiter of the system: nodes borrow from the quota that one of them owns. */
const sharedLimits: CreateLimiter = (self, names, network, clock, signal) => {
  const ownerOf = (a: AccountId) => rendezvous(a, names)[0];
  const transport = network.attach(self);
  const options = { self, clock, transport, ownerOf, previousOwnerOf: ownerOf };
  QuotaServer.create({ ...options, quotaOf: () => quota, isLive: () => true });
  const limiter = Limiter.create(options);
  void limiter.sweep(signal);
  const admit = async (tokens: number) => {
    const admitted = await limiter.admit({
      account,
      tier,
      quota,
      expectedTokens: tokens,
    });
    return admitted.isOk() ? (used: number) => admitted.value.settle(used) : undefined;
  };
  return { admit };
};

/** Baseline: every node has an equal share of the quota, regardless of its demand. */
const fixedShares: CreateLimiter = (_, names, __, clock) => {
  const perNode = (rate: number) => rate / names.length;
  const bucketOf = (rate: number) => Bucket.create(rate, Math.max(1, rate), rate, clock.now());
  let requests = bucketOf(perNode(quota.requestsPerSecond));
  let tokens = bucketOf(perNode(quota.tokensPerSecond));
  const admit = async (expected: number) => {
    const now = clock.now();
    const enough = Math.min(expected, tokens.size);
    if (requests.levelAt(now) < 1 || tokens.levelAt(now) < enough) {
      return undefined;
    }
    requests = requests.take(1, now);
    tokens = tokens.take(expected, now);
    return (used: number) => {
      tokens = tokens.take(used - expected, clock.now());
    };
  };
  return { admit };
};

/** Task that sends requests to random nodes of one half, and after `shiftMs` of the other half. */
async function offerLoad(
  clock: HeldClock,
  random: Random,
  limiters: readonly NodeLimiter[],
  send: (limiter: NodeLimiter) => Promise<void>,
): Promise<void> {
  const perSecond = quota.requestsPerSecond * demandFactor;
  const half = limiters.length / 2;
  while (clock.now() < endMs - windowMs) {
    await clock.sleep((-Math.log(1 - random.next()) * 1000) / perSecond);
    const first = clock.now() < shiftMs ? 0 : half;
    void send(limiters[first + Math.floor(random.next() * half)]!);
  }
}

function baselineFigures(label: string, r: Run): readonly Figure[] {
  const rate = limitingRate();
  return [
    {
      name: `${label}: admitted share of the limit at saturation`,
      value: admittedShare(r, rate),
      unit: '',
    },
    { name: `${label}: convergence after demand moved`, value: convergenceMs(r, rate), unit: 'ms' },
  ];
}

function figuresOf(label: string, nodes: number, r: Run): readonly Figure[] {
  const name = (what: string) => `${label}: ${what}`;
  const bound = (rate: number, seconds: number) => rate * (seconds + 1);
  const seconds = endMs / 1000;
  // The quota allows, at any time, at most the burst and what the rate has added since the start.
  const worstOvershoot = (counts: readonly number[], rate: number) => {
    let sum = 0;
    let worst = 0;
    counts.forEach((n, i) => {
      sum += n;
      worst = Math.max(worst, sum / bound(rate, ((i + 1) * windowMs) / 1000) - 1);
    });
    return worst * 100;
  };
  const limiting = limitingRate();
  return [
    {
      name: name('overshoot of requests'),
      value: worstOvershoot(r.admitted, quota.requestsPerSecond),
      unit: '%',
      target: { kind: 'at-most', value: 2 },
    },
    {
      name: name('overshoot of tokens'),
      value: worstOvershoot(r.tokens, quota.tokensPerSecond),
      unit: '%',
      target: { kind: 'at-most', value: 2 },
    },
    {
      name: name('overshoot of concurrency'),
      value: Math.max(0, (r.peakConcurrency / quota.concurrency - 1) * 100),
      unit: '%',
      target: { kind: 'at-most', value: 2 },
    },
    {
      name: name('admitted share of the limit at saturation'),
      value: admittedShare(r, limiting),
      unit: '',
    },
    {
      name: name('convergence after demand moved'),
      value: convergenceMs(r, limiting),
      unit: 'ms',
      target: { kind: 'at-most', value: 1000 },
    },
    { name: name('bytes sent per request offered'), value: r.bytes / r.offered, unit: 'B' },
    { name: name('bytes sent per second and node'), value: r.bytes / seconds / nodes, unit: 'B/s' },
  ];
}

/** Requests per second that the tightest of the three limits admits. */
function limitingRate(): number {
  const meanTokens = expectedTokens + extraTokens / 2;
  const byConcurrency = quota.concurrency / (requestDurationMs / 1000);
  const byTokens = quota.tokensPerSecond / meanTokens;
  return Math.min(quota.requestsPerSecond, byTokens, byConcurrency);
}

/** Admitted fraction of `rate` between the end of the first burst and the shift of demand. */
function admittedShare(r: Run, rate: number): number {
  const from = 2000 / windowMs;
  const to = shiftMs / windowMs;
  const sum = r.admitted.slice(from, to).reduce((a, b) => a + b, 0);
  return sum / (((shiftMs - 2000) / 1000) * rate);
}

/**
 * Time in milliseconds from the shift of demand to the first second in which 95 % of `rate` is
 * admitted again; the rest of the run if there is none.
 */
function convergenceMs(r: Run, rate: number): number {
  const perSecond = 1000 / windowMs;
  for (let at = shiftMs / windowMs; at + perSecond <= r.admitted.length; at += 1) {
    const second = r.admitted.slice(at, at + perSecond).reduce((a, b) => a + b, 0);
    if (second >= rate * 0.95) {
      return at * windowMs - shiftMs;
    }
  }
  return endMs - shiftMs;
}

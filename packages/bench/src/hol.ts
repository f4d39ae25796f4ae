/**
 * Bench `hol`: head-of-line blocking. Short requests compete with requests of the same tier that
 * run many times longer and that alone fill the fleet. Measures how much latency the long requests
 * add to the short ones.
 */

import { SeededRandom } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { arrivals, standard } from './workload.js';
import type { Arrival, Workload } from './workload.js';
import { maxTokensPerSecond } from './fakeengine.js';
import { Fleet, keswick, ramdenee } from './fleet.js';
import type { Site } from './fleet.js';
import type { Figure, Report } from './report.js';
import { LoadRun } from './loadrun.js';
import type { Policy, ServedRequest } from './loadrun.js';

/** Short and long requests of the same tier; the system is not given their length. */
const short: Workload = {
  tier: standard,
  tokenShare: 0.35,
  promptTokens: 200,
  meanTokens: 80,
  logLengthDeviation: 0.5,
};
const long: Workload = {
  tier: standard,
  tokenShare: 1,
  promptTokens: 800,
  meanTokens: 2500,
  logLengthDeviation: 0.5,
};

const promptPerToken = 2;

/** Demand of long requests as a fraction of the hardware bound; 1 fills the fleet. */
const longShare = 1;

/** Length from which a request counts as long, in tokens. */
const longTokens = 800;

/** `maxTokens` of every request, so that it gives no hint about the length. */
const maxTokens = 16_000;

/** Requests that arrive before `warmUpMs` are not measured; the last one arrives before `endMs`. */
const warmUpMs: Millis = 20_000;
const endMs: Millis = 50_000;
/** Time after the last arrival in which requests can end, in milliseconds. */
const tailMs: Millis = 10_000;

const policies: readonly Policy[] = [
  'owners',
  'round-robin',
  'least-loaded',
  'power-of-two',
  'fifo',
];

/** Compares each policy with short requests alone. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const site of [ramdenee, keswick]) {
    const compared = site === ramdenee ? policies : policies.slice(0, 1);
    const shortAlone = await runMix(site, 'owners', false, seed);
    for (const policy of compared) {
      const mixed = await runMix(site, policy, true, seed);
      figures.push(...compare(`${site.name} ${policy}`, shortAlone, mixed, policy === 'owners'));
    }
  }
  return { bench: 'hol', seed, figures };
}

async function runMix(site: Site, policy: Policy, withLong: boolean, seed: number) {
  const fleet = Fleet.create(site, seed);
  const engines = [...fleet.engines.values()];
  const bound = engines.reduce((n, e) => n + maxTokensPerSecond(e.kind, promptPerToken), 0);
  const random = SeededRandom.create(seed + 1);
  const shorts = arrivals(short, () => bound, endMs, random);
  const longs = withLong ? arrivals(long, () => bound * longShare, endMs, random) : [];
  const demand: Arrival[] = [...shorts, ...longs]
    .map((d) => ({ ...d, maxTokens }))
    .sort((a, b) => a.at - b.at);
  const served = await LoadRun.execute(fleet, policy, demand, tailMs);
  const isMeasured = (d: Arrival) => d.at >= warmUpMs && d.tokens < longTokens;
  const longTokensServed = served.filter(
    (s) => s.kind === 'complete' && s.arrival.tokens >= longTokens,
  );
  return {
    served: served.filter((s) => isMeasured(s.arrival)),
    arrived: demand.filter(isMeasured).length,
    longs: longTokensServed.length,
  };
}

type MixResult = Awaited<ReturnType<typeof runMix>>;

function compare(
  name: string,
  alone: MixResult,
  mixed: MixResult,
  hasTargets: boolean,
): readonly Figure[] {
  const target = { kind: 'at-most', value: 1.2 } as const;
  const slowDown = (of: (s: ServedRequest) => Millis, share: number) =>
    quantile(mixed, of, share) / quantile(alone, of, share);
  const figure = (what: string, value: number): Figure => ({
    name: `${name}: short work's ${what}, times that alone`,
    value,
    unit: 'times',
    ...(hasTargets ? { target } : {}),
  });
  return [
    figure(
      'p95',
      slowDown((s) => s.endMs, 0.95),
    ),
    figure(
      'p99',
      slowDown((s) => s.endMs, 0.99),
    ),
    figure(
      'first token p95',
      slowDown((s) => s.firstMs, 0.95),
    ),
    figure(
      'first token p99',
      slowDown((s) => s.firstMs, 0.99),
    ),
    {
      name: `${name}: short work served`,
      value: (100 * mixed.served.filter((s) => s.kind === 'complete').length) / mixed.arrived,
      unit: '%',
    },
    { name: `${name}: long work completed`, value: mixed.longs, unit: 'requests' },
  ];
}

/** A quantile over all short arrivals; a request that was not completed counts as infinite. */
function quantile(result: MixResult, of: (s: ServedRequest) => Millis, share: number): Millis {
  const times = result.served.filter((s) => s.kind === 'complete').map(of);
  times.sort((a, b) => a - b);
  return times[Math.ceil(result.arrived * share) - 1] ?? Infinity;
}

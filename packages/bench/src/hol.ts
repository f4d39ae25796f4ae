/** Head-of-line blocking: short work behind work that runs many times longer. */

import { SeededRandom } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { arrivals, standard } from './demand.js';
import type { Demand, Work } from './demand.js';
import { boundOf } from './fakeengine.js';
import { Fleet, keswick, ramdenee } from './fleet.js';
import type { Site } from './fleet.js';
import type { Figure, Report } from './report.js';
import { Run } from './serve.js';
import type { Policy, Served } from './serve.js';

/** Short and long work of the same tier; its length is not told. */
const short: Work = { tier: standard, share: 0.35, promptTokens: 200, meanTokens: 80, spread: 0.5 };
const long: Work = { tier: standard, share: 1, promptTokens: 800, meanTokens: 2500, spread: 0.5 };

const promptPerToken = 2;

/** Demand of long work as a share of the bound: alone it fills the fleet. */
const longShare = 1;

/** Requests longer than this count as long, in tokens. */
const longTokens = 800;

/** Limit that every request states, so that it does not tell lengths apart. */
const maxTokens = 16_000;

const warmUpMs: Millis = 20_000;
const endMs: Millis = 50_000;
const tailMs: Millis = 10_000;

const policies: readonly Policy[] = [
  'owners',
  'round-robin',
  'least-loaded',
  'power-of-two',
  'fifo',
];

export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const site of [ramdenee, keswick]) {
    const compared = site === ramdenee ? policies : policies.slice(0, 1);
    const alone = await play(site, 'owners', false, seed);
    for (const policy of compared) {
      const mixed = await play(site, policy, true, seed);
      figures.push(...compare(`${site.name} ${policy}`, alone, mixed, policy === 'owners'));
    }
  }
  return { bench: 'hol', seed, figures };
}

async function play(site: Site, policy: Policy, withLong: boolean, seed: number) {
  const fleet = Fleet.create(site, seed);
  const engines = [...fleet.engines.values()];
  const bound = engines.reduce((n, e) => n + boundOf(e.kind, promptPerToken), 0);
  const random = SeededRandom.create(seed + 1);
  const shorts = arrivals(short, () => bound, endMs, random);
  const longs = withLong ? arrivals(long, () => bound * longShare, endMs, random) : [];
  const demand: Demand[] = [...shorts, ...longs]
    .map((d) => ({ ...d, maxTokens }))
    .sort((a, b) => a.at - b.at);
  const served = await Run.of(fleet, policy, demand, tailMs);
  const arrived = (d: Demand) => d.at >= warmUpMs && d.tokens < longTokens;
  const longTokensServed = served.filter(
    (s) => s.kind === 'complete' && s.demand.tokens >= longTokens,
  );
  return {
    served: served.filter((s) => arrived(s.demand)),
    arrived: demand.filter(arrived).length,
    longs: longTokensServed.length,
  };
}

type Played = Awaited<ReturnType<typeof play>>;

function compare(name: string, alone: Played, mixed: Played, ours: boolean): readonly Figure[] {
  const target = { kind: 'at-most', value: 1.2 } as const;
  const slowDown = (of: (s: Served) => Millis, share: number) =>
    quantile(mixed, of, share) / quantile(alone, of, share);
  const figure = (what: string, value: number): Figure => ({
    name: `${name}: short work's ${what}, times that alone`,
    value,
    unit: 'times',
    ...(ours ? { target } : {}),
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

/** A quantile over all arrivals; one that was not served counts as never. */
function quantile(played: Played, of: (s: Served) => Millis, share: number): Millis {
  const times = played.served.filter((s) => s.kind === 'complete').map(of);
  times.sort((a, b) => a - b);
  return times[Math.ceil(played.arrived * share) - 1] ?? Infinity;
}

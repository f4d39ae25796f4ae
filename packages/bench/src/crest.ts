/** Service at the crest: demand swings fourfold within two seconds. */

import type { Millis, TierId } from '@tanagercart/base';
import { SeededRandom } from '@tanagercart/base';
import { arrivals, patient, standard, urgent } from './demand.js';
import type { Demand, Work } from './demand.js';
import { boundOf } from './fakeengine.js';
import { Fleet, keswick, ramdenee, tiers } from './fleet.js';
import type { Site } from './fleet.js';
import type { Figure, Report } from './report.js';
import { Run } from './serve.js';
import type { Policy, Served } from './serve.js';

/** Kinds of work at the crest. */
const works: readonly Work[] = [
  { tier: urgent, share: 0.5, promptTokens: 300, meanTokens: 120, spread: 0.6 },
  { tier: standard, share: 0.15, promptTokens: 400, meanTokens: 200, spread: 0.8 },
  { tier: patient, share: 0.35, promptTokens: 600, meanTokens: 500, spread: 1 },
];

const promptPerToken = works.reduce((n, w) => n + (w.share * w.promptTokens) / w.meanTokens, 0);

/** Demand before and at the crest, as shares of the hardware bound. */
const calmShare = 0.4;
const crestShare = 1.6;

/** The swing up, the crest and its end, in milliseconds. */
const swing = { fromMs: 4000, untilMs: 6000, crestEndMs: 18_000, endMs: 20_000 };

/** Time after the last arrival for patient work to end, in milliseconds. */
const tailMs: Millis = 60_000;

/** When the loss of a replica is known, after it died, in milliseconds. */
const detectMs: Millis = 1000;

const policies: readonly Policy[] = [
  'owners',
  'round-robin',
  'least-loaded',
  'power-of-two',
  'fifo',
];

interface Scene {
  readonly site: Site;
  readonly policy: Policy;
  readonly loss: boolean;
  readonly only?: TierId;
}

interface Outcome {
  readonly served: readonly Served[];
  readonly demand: readonly Demand[];
  readonly bound: number;
}

export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const site of [ramdenee, keswick]) {
    const alone = await play({ site, policy: 'owners', loss: false, only: urgent }, seed);
    for (const loss of [false, true]) {
      const mixed = await play({ site, policy: 'owners', loss }, seed);
      figures.push(...figuresOf(`${site.name}${loss ? ' loss' : ''} owners`, mixed, true));
      if (!loss) figures.push(lossToPatient(site.name, alone, mixed));
    }
  }
  for (const policy of policies.slice(1)) {
    const mixed = await play({ site: ramdenee, policy, loss: false }, seed);
    figures.push(...figuresOf(`ramdenee ${policy}`, mixed, false));
  }
  return { bench: 'crest', seed, figures };
}

async function play(scene: Scene, seed: number): Promise<Outcome> {
  const fleet = Fleet.create(scene.site, seed);
  const bound = boundOfFleet(fleet);
  const random = SeededRandom.create(seed + 1);
  const rate = (at: Millis) => bound * shareAt(at);
  const demand = works
    .flatMap((w) => arrivals(w, rate, swing.endMs, random))
    .filter((d) => !scene.only || d.tier === scene.only)
    .sort((a, b) => a.at - b.at);
  const served = await Run.of(fleet, scene.policy, demand, tailMs, (f) => {
    if (scene.loss) void loseOne(f);
  });
  return { served, demand, bound: scene.loss ? boundOfFleet(fleet) : bound };
}

async function loseOne(fleet: Fleet): Promise<void> {
  await fleet.clock.sleep(swing.untilMs);
  await fleet.lose([...fleet.engines.keys()][0]!, detectMs);
}

function shareAt(at: Millis): number {
  if (at < swing.fromMs) return calmShare;
  if (at < swing.untilMs) {
    const risen = (at - swing.fromMs) / (swing.untilMs - swing.fromMs);
    return calmShare + (crestShare - calmShare) * risen;
  }
  return at < swing.crestEndMs ? crestShare : calmShare;
}

/** What the engines that are alive can do. */
function boundOfFleet(fleet: Fleet): number {
  const alive = [...fleet.engines.values()].filter((e) => e.alive);
  return alive.reduce((n, e) => n + boundOf(e.kind, promptPerToken), 0);
}

function figuresOf(name: string, o: Outcome, ours: boolean): readonly Figure[] {
  const out: Figure[] = [];
  for (const tier of tiers) {
    const all = o.demand.filter((d) => d.tier === tier.id);
    const within = o.served.filter((s) => s.demand.tier === tier.id && isWithin(s));
    const refused = o.served.filter((s) => s.demand.tier === tier.id && s.kind === 'refused');
    const target = { kind: 'at-least', value: 99 } as const;
    out.push({
      name: `${name}: ${tier.id} within promise`,
      value: (100 * within.length) / Math.max(1, all.length),
      unit: '%',
      ...(ours && tier.urgency === 0 ? { target } : {}),
    });
    out.push({ name: `${name}: ${tier.id} refused`, value: refused.length, unit: 'requests' });
  }
  const target = { kind: 'at-least', value: 90 } as const;
  out.push({
    name: `${name}: goodput at the crest`,
    value: 100 * goodputShare(o),
    unit: '% of bound',
    ...(ours ? { target } : {}),
  });
  out.push({ name: `${name}: urgent first token p95`, value: urgentP95(o), unit: 'ms' });
  out.push({
    name: `${name}: most preemptions of one request`,
    value: Math.max(0, ...o.served.map((s) => s.preemptions)),
    unit: '',
  });
  return out;
}

function lossToPatient(site: string, alone: Outcome, mixed: Outcome): Figure {
  return {
    name: `${site} owners: urgent p95 with patient load over urgent alone`,
    value: urgentP95(mixed) / urgentP95(alone),
    unit: 'times',
    target: { kind: 'at-most', value: 1.05 },
  };
}

/** Whether a request kept its promise: first token in time, and mean gap between tokens. */
export function isWithin(s: Served): boolean {
  const tier = tiers.find((t) => t.id === s.demand.tier)!;
  if (s.kind !== 'complete' || s.firstMs > tier.firstTokenMs) return false;
  const gaps = Math.max(1, s.demand.tokens - 1);
  return (s.endMs - s.firstMs) / gaps <= tier.tokenGapMs;
}

/** Tokens of requests within promise, generated at the crest, as a share of the bound. */
function goodputShare(o: Outcome): number {
  const from = swing.untilMs;
  const until = swing.crestEndMs;
  let tokens = 0;
  for (const s of o.served.filter(isWithin)) {
    const first = s.demand.at + s.firstMs;
    const end = s.demand.at + s.endMs;
    const inside = Math.max(0, Math.min(end, until) - Math.max(first, from));
    tokens += s.demand.tokens * (end > first ? inside / (end - first) : 0);
  }
  return (tokens * 1000) / (o.bound * (until - from));
}

function urgentP95(o: Outcome): number {
  const times = o.served
    .filter((s) => s.demand.tier === urgent && s.demand.at >= swing.untilMs)
    .filter((s) => s.demand.at < swing.crestEndMs && s.kind === 'complete')
    .map((s) => s.firstMs)
    .sort((a, b) => a - b);
  return times[Math.floor(times.length * 0.95)] ?? Infinity;
}

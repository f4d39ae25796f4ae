/**
 * Bench `crest`: service at peak demand (the crest). Demand grows fourfold within two seconds, to
 * 1.6 times what the fleet can serve. Measures how many requests keep the promise of the tier, the
 * goodput as a fraction of the hardware bound, and the effect of patient requests on urgent ones,
 * also when a replica fails at the peak. Other policies serve as baselines.
 */

import type { Millis, TierId } from '@tanagercart/base';
import { SeededRandom } from '@tanagercart/base';
import { arrivals, patient, standard, urgent } from './workload.js';
import type { Arrival, Workload } from './workload.js';
import { maxTokensPerSecond } from './fakeengine.js';
import { Fleet, keswick, ramdenee, tiers } from './fleet.js';
import type { Site } from './fleet.js';
import type { Figure, Report } from './report.js';
import { LoadRun } from './loadrun.js';
import type { Policy, ServedRequest } from './loadrun.js';

/** The mix of workloads. */
const workloads: readonly Workload[] = [
  { tier: urgent, tokenShare: 0.5, promptTokens: 300, meanTokens: 120, logLengthDeviation: 0.6 },
  { tier: standard, tokenShare: 0.15, promptTokens: 400, meanTokens: 200, logLengthDeviation: 0.8 },
  { tier: patient, tokenShare: 0.35, promptTokens: 600, meanTokens: 500, logLengthDeviation: 1 },
];

const promptPerToken = workloads.reduce(
  (n, w) => n + (w.tokenShare * w.promptTokens) / w.meanTokens,
  0,
);

/** Demand before and at the peak (the crest), as fractions of the hardware bound. */
const calmShare = 0.4;
const crestShare = 1.6;

/**
 * Phases of a run: the demand rises from `fromMs` to `untilMs` and stays at the peak until
 * `crestEndMs`. Times in milliseconds.
 */
const phases = { fromMs: 4000, untilMs: 6000, crestEndMs: 18_000, endMs: 20_000 };

/** Time after the last arrival in which patient requests can end, in milliseconds. */
const tailMs: Millis = 60_000;

/** Time from the failure of a replica to its detection, in milliseconds. */
const detectionMs: Millis = 1000;

const policies: readonly Policy[] = [
  'owners',
  'round-robin',
  'least-loaded',
  'power-of-two',
  'fifo',
];

/** One run: which replica policy serves, whether a replica fails, and which tiers send. */
interface Scenario {
  readonly site: Site;
  readonly policy: Policy;
  readonly replicaFails: boolean;
  readonly onlyTier?: TierId;
}

/** The results of a run; `bound` is the hardware bound in tokens per second. */
interface Outcome {
  readonly served: readonly ServedRequest[];
  readonly demand: readonly Arrival[];
  readonly bound: number;
}

/** Runs all scenarios at both deployments. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const site of [ramdenee, keswick]) {
    const alone = await runScenario(
      { site, policy: 'owners', replicaFails: false, onlyTier: urgent },
      seed,
    );
    for (const loss of [false, true]) {
      const mixed = await runScenario({ site, policy: 'owners', replicaFails: loss }, seed);
      figures.push(...figuresOf(`${site.name}${loss ? ' loss' : ''} owners`, mixed, true));
      if (!loss) figures.push(urgentSlowdown(site.name, alone, mixed));
    }
  }
  for (const policy of policies.slice(1)) {
    const mixed = await runScenario({ site: ramdenee, policy, replicaFails: false }, seed);
    figures.push(...figuresOf(`ramdenee ${policy}`, mixed, false));
  }
  return { bench: 'crest', seed, figures };
}

async function runScenario(scenario: Scenario, seed: number): Promise<Outcome> {
  const fleet = Fleet.create(scenario.site, seed);
  const bound = fleetTokensPerSecond(fleet);
  const random = SeededRandom.create(seed + 1);
  const rate = (at: Millis) => bound * demandShareAt(at);
  const demand = workloads
    .flatMap((w) => arrivals(w, rate, phases.endMs, random))
    .filter((d) => !scenario.onlyTier || d.tier === scenario.onlyTier)
    .sort((a, b) => a.at - b.at);
  const served = await LoadRun.execute(fleet, scenario.policy, demand, tailMs, (f) => {
    if (scenario.replicaFails) void failOneReplica(f);
  });
  return { served, demand, bound: scenario.replicaFails ? fleetTokensPerSecond(fleet) : bound };
}

async function failOneReplica(fleet: Fleet): Promise<void> {
  await fleet.clock.sleep(phases.untilMs);
  await fleet.failReplica([...fleet.engines.keys()][0]!, detectionMs);
}

function demandShareAt(at: Millis): number {
  if (at < phases.fromMs) return calmShare;
  if (at < phases.untilMs) {
    const fraction = (at - phases.fromMs) / (phases.untilMs - phases.fromMs);
    return calmShare + (crestShare - calmShare) * fraction;
  }
  return at < phases.crestEndMs ? crestShare : calmShare;
}

/** Hardware bound of the engines that are alive, in tokens per second. */
function fleetTokensPerSecond(fleet: Fleet): number {
  const alive = [...fleet.engines.values()].filter((e) => e.alive);
  return alive.reduce((n, e) => n + maxTokensPerSecond(e.kind, promptPerToken), 0);
}

function figuresOf(name: string, o: Outcome, hasTargets: boolean): readonly Figure[] {
  const out: Figure[] = [];
  for (const tier of tiers) {
    const all = o.demand.filter((d) => d.tier === tier.id);
    const within = o.served.filter((s) => s.arrival.tier === tier.id && meetsTier(s));
    const refused = o.served.filter((s) => s.arrival.tier === tier.id && s.kind === 'refused');
    const target = { kind: 'at-least', value: 99 } as const;
    out.push({
      name: `${name}: ${tier.id} within promise`,
      value: (100 * within.length) / Math.max(1, all.length),
      unit: '%',
      ...(hasTargets && tier.urgency === 0 ? { target } : {}),
    });
    out.push({ name: `${name}: ${tier.id} refused`, value: refused.length, unit: 'requests' });
  }
  const target = { kind: 'at-least', value: 90 } as const;
  out.push({
    name: `${name}: goodput at the crest`,
    value: 100 * goodputShare(o),
    unit: '% of bound',
    ...(hasTargets ? { target } : {}),
  });
  out.push({ name: `${name}: urgent first token p95`, value: urgentP95(o), unit: 'ms' });
  out.push({
    name: `${name}: most preemptions of one request`,
    value: Math.max(0, ...o.served.map((s) => s.preemptions)),
    unit: '',
  });
  return out;
}

function urgentSlowdown(site: string, alone: Outcome, mixed: Outcome): Figure {
  return {
    name: `${site} owners: urgent p95 with patient load over urgent alone`,
    value: urgentP95(mixed) / urgentP95(alone),
    unit: 'times',
    target: { kind: 'at-most', value: 1.05 },
  };
}

/** Whether a request met its tier: time to first token, and mean gap between tokens. */
export function meetsTier(s: ServedRequest): boolean {
  const tier = tiers.find((t) => t.id === s.arrival.tier)!;
  if (s.kind !== 'complete' || s.firstMs > tier.firstTokenMs) return false;
  const gaps = Math.max(1, s.arrival.tokens - 1);
  return (s.endMs - s.firstMs) / gaps <= tier.tokenGapMs;
}

/**
 * Goodput at the peak as a fraction of the bound: tokens that were generated there for requests
 * that met their tier.
 */
function goodputShare(o: Outcome): number {
  const from = phases.untilMs;
  const until = phases.crestEndMs;
  let tokens = 0;
  for (const s of o.served.filter(meetsTier)) {
    const first = s.arrival.at + s.firstMs;
    const end = s.arrival.at + s.endMs;
    const inside = Math.max(0, Math.min(end, until) - Math.max(first, from));
    tokens += s.arrival.tokens * (end > first ? inside / (end - first) : 0);
  }
  return (tokens * 1000) / (o.bound * (until - from));
}

function urgentP95(o: Outcome): number {
  const times = o.served
    .filter((s) => s.arrival.tier === urgent && s.arrival.at >= phases.untilMs)
    .filter((s) => s.arrival.at < phases.crestEndMs && s.kind === 'complete')
    .map((s) => s.firstMs)
    .sort((a, b) => a - b);
  return times[Math.floor(times.length * 0.95)] ?? Infinity;
}

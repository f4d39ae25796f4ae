/**
 * Bench `throughput`: the throughput of replica plans as a fraction of the max-flow bound, and of a
 * saturated fleet as a fraction of its hardware bound.
 */

import { ModelId, SeededRandom, UpstreamId } from '@tanagercart/base';
import type { Random } from '@tanagercart/base';
import type { Model } from '@tanagercart/release';
import {
  LinkTable,
  planReplicas,
  replicaPlanSteps,
  stagesOf,
  throughputBound,
  throughputOf,
} from '@tanagercart/routing';
import type { Replica, Upstream } from '@tanagercart/state';
import { arrivals, patient } from './workload.js';
import type { Workload } from './workload.js';
import { maxTokensPerSecond } from './fakeengine.js';
import { Fleet, ramdenee } from './fleet.js';
import type { Figure, Report } from './report.js';
import { LoadRun } from './loadrun.js';
import type { Policy } from './loadrun.js';

const target = { kind: 'at-least', value: 0.92 } as const;

/** Links between three data centres, whose bandwidths differ by a factor of up to 100. */
const links = LinkTable.create([
  { between: ['dc1', 'dc2'], latencyMs: 0.5, tokensPerSecond: 100_000 },
  { between: ['dc2', 'dc3'], latencyMs: 0.5, tokensPerSecond: 10_000 },
  { between: ['dc1', 'dc3'], latencyMs: 0.5, tokensPerSecond: 1000 },
]);

/** Tokens per second of a stage on each kind of accelerator, however many layers it holds. */
const speeds = [2400, 1300, 740, 290];

/** Largest relative deviation of the speed of one accelerator from that of its kind. */
const speedSpread = 0.1;

const workload: Workload = {
  tier: patient,
  tokenShare: 1,
  promptTokens: 300,
  meanTokens: 150,
  logLengthDeviation: 0.6,
};
const promptPerToken = workload.promptTokens / workload.meanTokens;

/** Demand on the saturated fleet, as a fraction of its hardware bound. */
const demandShare = 1.3;

/** The window in which the tokens of the saturated fleet are counted, in milliseconds. */
const window = { fromMs: 6000, untilMs: 14_000 };

const policies: readonly Policy[] = [
  'owners',
  'round-robin',
  'least-loaded',
  'power-of-two',
  'fifo',
];

/** Measures plans of three sizes, and the saturated fleet under each policy. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [
    ...planFigures('8 nodes, 1 model, 104 stages', 104, 1, seed),
    ...planFigures('2,400 stages, 11 models', 2400, 11, seed),
    ...planFigures('2,400 stages, 1 model', 2400, 1, seed),
  ];
  for (const policy of policies) {
    figures.push({
      name: `ramdenee ${policy}: tokens at saturation`,
      value: await saturatedShare(policy, seed),
      unit: 'of bound',
      ...(policy === 'owners' ? { target } : {}),
    });
  }
  return { bench: 'throughput', seed, figures };
}

/**
 * Figures of the plans for `models` models with `stages` stages in all: a first plan, and the plan
 * after each stage was lost with a probability of 2 %.
 */
function planFigures(
  name: string,
  stages: number,
  models: number,
  seed: number,
): readonly Figure[] {
  const random = SeededRandom.create(seed);
  let bound = 0;
  let planned = 0;
  let inOrder = 0;
  let boundAfter = 0;
  let plannedAfter = 0;
  let keptReplicas = 0;
  let intactCount = 0;
  let slowestMs = 0;
  let slowestStepMs = 0;
  for (let m = 0; m < models; m += 1) {
    const model = { id: ModelId(`m${m}`), layers: 32, versions: ['1'], adapters: [] };
    const upstreams = randomStages(model, Math.floor(stages / models), random);
    const timed = timedPlan(model, upstreams);
    const first = timed.replicas;
    slowestMs = Math.max(slowestMs, timed.totalMs);
    slowestStepMs = Math.max(slowestStepMs, timed.stepMs);
    bound += throughputBound(model, stagesOf(model, upstreams), links);
    planned += planThroughput(model, upstreams, first);
    inOrder += planThroughput(model, upstreams, chainsInAnnouncementOrder(model, upstreams));
    const remaining = upstreams.filter(() => random.next() >= 0.02);
    const second = planReplicas(model, remaining, first, links);
    boundAfter += throughputBound(model, stagesOf(model, remaining), links);
    plannedAfter += planThroughput(model, remaining, second);
    const remainingIds = new Set(remaining.map((u) => u.id));
    const intactReplicas = first.filter((r) => r.stages.every((s) => remainingIds.has(s)));
    intactCount += intactReplicas.length;
    keptReplicas += intactReplicas.filter((r) => second.some((s) => s.id === r.id)).length;
  }
  const share = (what: string, value: number, unit = 'of bound'): Figure => ({
    name: `${name}: ${what}`,
    value,
    unit,
  });
  return [
    { ...share('plan', planned / bound), target },
    share('chains in order of announcement', inOrder / bound),
    { ...share('plan after the loss of 2 % of the stages', plannedAfter / boundAfter), target },
    share('whole replicas kept through the loss', keptReplicas / intactCount, 'of all'),
    share('longest plan of one model', slowestMs, 'ms'),
    {
      ...share('longest step of a plan', slowestStepMs, 'ms'),
      target: { kind: 'at-most', value: 20 },
    },
  ];
}

/** Computes a first plan and measures its total time and its longest step, in milliseconds. */
function timedPlan(model: Model, upstreams: readonly Upstream[]) {
  const steps = replicaPlanSteps(model, upstreams, [], links);
  let totalMs = 0;
  let stepMs = 0;
  for (;;) {
    const began = performance.now();
    const step = steps.next();
    const tookMs = performance.now() - began;
    totalMs += tookMs;
    stepMs = Math.max(stepMs, tookMs);
    if (step.done) return { replicas: step.value, totalMs, stepMs };
  }
}

function planThroughput(
  model: Model,
  upstreams: readonly Upstream[],
  plan: readonly Replica[],
): number {
  const stages = new Map(stagesOf(model, upstreams).map((s) => [s.upstream.id, s]));
  return throughputOf(plan, stages, links);
}

/**
 * Random stages of a model on accelerators of different kinds. Each set of stages that covers the
 * model splits it either into two halves or into two quarters and a half.
 */
function randomStages(model: Model, count: number, random: Random): readonly Upstream[] {
  const out: Upstream[] = [];
  for (let i = 0; out.length < count; i += 1) {
    const kind = Math.floor(random.next() * speeds.length);
    const cuts = random.next() < 0.5 ? [0, 16, 32] : [0, 8, 16, 32];
    for (const [c, from] of cuts.slice(0, -1).entries()) {
      const to = cuts[c + 1]!;
      const spread = 1 + speedSpread * (2 * random.next() - 1);
      const dataCentre = `dc${1 + Math.floor(random.next() * 3)}`;
      const tokensPerSecond = speeds[kind]! * spread;
      const held = { model: model.id, versions: ['1'], adapters: [], from, to };
      const stage = { ...held, accelerator: `a${kind}`, tokensPerSecond, slots: 16 };
      const id = UpstreamId(`${model.id}-${i}-${from}`);
      const role = { kind: 'stage', stage } as const;
      out.push({ id, incarnation: '1', url: `http://${id}`, dataCentre, role });
    }
  }
  return out;
}

/** Baseline plan: each stage is chained to the first announced stage that continues its layers. */
function chainsInAnnouncementOrder(
  model: Model,
  upstreams: readonly Upstream[],
): readonly Replica[] {
  const free = stagesOf(model, upstreams).slice();
  const out: Replica[] = [];
  for (;;) {
    const chain: UpstreamId[] = [];
    let layer = 0;
    while (layer < model.layers) {
      const wanted = layer;
      const at = free.findIndex((s) => s.stage.from === wanted);
      if (at < 0) return out;
      const [next] = free.splice(at, 1);
      chain.push(next!.upstream.id);
      layer = next!.stage.to;
    }
    out.push({ id: chain.join('|') as Replica['id'], model: model.id, stages: chain });
  }
}

async function saturatedShare(policy: Policy, seed: number): Promise<number> {
  const fleet = Fleet.create(ramdenee, seed);
  const engines = [...fleet.engines.values()];
  const bound = engines.reduce((n, e) => n + maxTokensPerSecond(e.kind, promptPerToken), 0);
  const random = SeededRandom.create(seed + 1);
  const demand = arrivals(workload, () => bound * demandShare, window.untilMs, random);
  const { fromMs, untilMs } = window;
  const generated = { before: 0, after: 0 };
  const count = () => engines.reduce((n, e) => n + e.generatedTokens, 0);
  await LoadRun.execute(fleet, policy, demand, 1000, (f) => {
    void f.clock.sleep(fromMs).then(() => {
      generated.before = count();
    });
    void f.clock.sleep(untilMs).then(() => {
      generated.after = count();
    });
  });
  return ((generated.after - generated.before) * 1000) / (bound * (untilMs - fromMs));
}

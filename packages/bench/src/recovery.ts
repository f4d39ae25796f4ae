/**
 * Bench `recovery`: a fault interrupts streams of a whole deployment. Measures the longest gap
 * between tokens of these streams, and the time until the deployment generates 95 % of the tokens
 * per second that it generated before.
 */

import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { slots, tokenMs } from './simulatedupstreams.js';
import type { Figure, Report } from './report.js';
import { Simulation } from './simulation.js';
import type { Caller } from './simulation.js';

const nodeCount = 8;
const replicas = 9;

/** A load: how many callers stream at once. */
interface Load {
  readonly name: string;
  readonly callers: number;
  /** Whether the slots that are left after a fault suffice for all streams. */
  readonly hasSpareSlots: boolean;
}

/** One third of the slots, and more than 90 % of them (the crest). */
const loads: readonly Load[] = [
  { name: '', callers: 24, hasSpareSlots: true },
  { name: 'crest, ', callers: 66, hasSpareSlots: false },
];

/** Time with load before the fault, in milliseconds. */
const warmUpMs: Millis = 4000;

/** Time that is measured after the fault, in milliseconds. */
const afterMs: Millis = 10_000;

/** Sliding window in which tokens are counted, and the step by which it moves, in milliseconds. */
const windowMs: Millis = 1000;
const stepMs: Millis = 100;

/** Fraction of the throughput before the fault that counts as recovered. */
const recoveredShare = 0.95;

/**
 * Token gap after which the baseline aborts a stream, in milliseconds. The baseline then generates
 * the answer again from its first token; its gap is computed, not measured.
 */
const fixedTimeoutMs: Millis = 2000;

/** A fault, and the function that injects it. */
interface Fault {
  readonly name: string;
  readonly inject: (w: Simulation) => Promise<void> | void;
}

const faults: readonly Fault[] = [
  { name: 'stage death', inject: (w) => w.killUpstream('s00') },
  {
    name: 'replica death',
    inject: (w) => {
      w.killUpstream('s00');
      w.killUpstream('s01');
    },
  },
  {
    name: 'link degraded',
    inject: (w) => {
      w.world.upstreams.get('s01')!.slowdown = 100;
    },
  },
  { name: 'entry death', inject: (w) => w.killNode('n7') },
  { name: 'leader death', inject: (w) => w.killNode(w.leader!.id) },
  {
    name: 'voter silent',
    inject: (w) => {
      const voter = ['n1', 'n2', 'n3'].find((n) => n !== w.leader?.id)!;
      for (const n of w.nodes.keys()) {
        w.net.cut(NodeId(voter), NodeId(n));
        w.net.cut(NodeId(n), NodeId(voter));
      }
    },
  },
  {
    name: 'data centre lost',
    inject: (w) => {
      w.nodesIn('east').forEach((n) => w.killNode(n));
      for (const u of w.world.upstreams.values()) {
        if (u.announcement.dataCentre === 'east') w.killUpstream(u.announcement.id);
      }
    },
  },
  {
    name: 'second loss after a repair',
    inject: async (w) => {
      w.killUpstream('s00');
      await w.clock.advance(4000);
      w.restartStage('s00');
      await w.clock.advance(2000);
      w.killUpstream('s01');
    },
  },
];

/** Measures every fault at every load, each on a new deployment. */
export async function run(seed: number): Promise<Report> {
  const figures: Figure[] = [];
  for (const load of loads) {
    for (const fault of faults) figures.push(...(await measure(fault, load, seed)));
  }
  return { bench: 'recovery', seed, figures };
}

async function measure(fault: Fault, load: Load, seed: number): Promise<readonly Figure[]> {
  const w = await Simulation.start(seed, nodeCount, replicas);
  w.addCallers(load.callers);
  await w.clock.advance(warmUpMs);
  const before = tokensBetween(w, w.clock.now() - warmUpMs / 2, w.clock.now()) / (warmUpMs / 2);
  await fault.inject(w);
  const at = w.clock.now();
  const interrupted = w.callers.filter((c) => isInterrupted(w, c));
  const passed = interrupted.map((c) => c.received.length);
  const prompts = interrupted.map((c) => c.prompt);
  const longestGaps = interrupted.map(() => 0);
  for (let t = 0; t < afterMs; t += stepMs / 10) {
    await w.clock.advance(stepMs / 10);
    interrupted.forEach((c, i) => {
      const gapMs = w.clock.now() - Math.max(at, c.lastTokenAt);
      if (c.prompt === prompts[i]) longestGaps[i] = Math.max(longestGaps[i]!, gapMs);
    });
  }
  const recoveredMs = recoveryMs(w, at, Math.min(before, healthyTokensPerMs(w)));
  await w.stop();
  const name = `${load.name}${fault.name}`;
  const baseline = passed.map((n) => fixedTimeoutMs + (n + 1) * tokenMs);
  return [
    { name: `${name}: streams cut`, value: interrupted.length, unit: '' },
    ...(interrupted.length === 0 ? [] : gapFigures(name, load, longestGaps, baseline)),
    {
      name: `${name}: to 95 % of the service`,
      value: recoveredMs,
      unit: 'ms',
      target: { kind: 'at-most', value: 3000 },
    },
  ];
}

function gapFigures(
  name: string,
  { hasSpareSlots: room }: Load,
  gaps: readonly Millis[],
  baseline: readonly Millis[],
): readonly Figure[] {
  return [
    {
      name: `${name}: longest silence, p95`,
      value: p95(gaps),
      unit: 'ms',
      ...(room ? { target: { kind: 'at-most', value: 1000 } as const } : {}),
    },
    { name: `${name}: baseline as computed, p95`, value: p95(baseline), unit: 'ms' },
  ];
}

/** Tokens per millisecond that the stages which are up and not slowed down can generate. */
function healthyTokensPerMs(w: Simulation): number {
  const healthy = [...w.world.upstreams.values()].filter((u) => u.alive && u.slowdown === 1);
  const roles = healthy.flatMap(({ announcement: { role } }) =>
    role.kind === 'stage' ? [role] : [],
  );
  const firstHalves = roles.filter((r) => r.from === 0).length;
  return (Math.min(firstHalves, roles.length - firstHalves) * slots) / tokenMs;
}

/** Whether the stream of a caller runs through an entry or a stage that is down or slowed down. */
function isInterrupted(w: Simulation, caller: Caller): boolean {
  if (caller.entry?.life.signal.aborted) return true;
  const chain = w.world.chainOf.get(caller.prompt) ?? [];
  return chain.some((id) => {
    const u = w.world.upstreams.get(id)!;
    return !u.alive || u.slowdown > 1;
  });
}

/**
 * Time from `at` until the throughput stays above the recovered fraction of `before`. A window is
 * dated by its start.
 */
function recoveryMs(w: Simulation, at: Millis, before: number): Millis {
  let recoveredAt = 0;
  for (let t = 0; t + windowMs <= afterMs; t += stepMs) {
    const rate = tokensBetween(w, at + t, at + t + windowMs) / windowMs;
    if (rate < before * recoveredShare) recoveredAt = t + stepMs;
  }
  return recoveredAt;
}

function tokensBetween(w: Simulation, from: Millis, to: Millis): number {
  return w.tokenTimes.filter((t) => t > from && t <= to).length;
}

function p95(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.95))]!;
}

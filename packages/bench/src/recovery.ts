/** Silence of the streams that a fault cut, and time to 95 % of the service before it. */

import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { slots, tokenMs } from './engineworld.js';
import type { Figure, Report } from './report.js';
import { Simulation } from './simulation.js';
import type { Caller } from './simulation.js';

const nodeCount = 8;
const replicas = 9;

/** How many streams run at once. */
interface Load {
  readonly name: string;
  readonly callers: number;
  /** Whether there is room after each fault. */
  readonly room: boolean;
}

/** A third of the slots, and more than nine tenths of them. */
const loads: readonly Load[] = [
  { name: '', callers: 24, room: true },
  { name: 'crest, ', callers: 66, room: false },
];

/** Time with load before the fault, in milliseconds. */
const warmMs: Millis = 4000;

/** Time that is measured after the fault, in milliseconds. */
const afterMs: Millis = 10_000;

/** Window over which service is counted, and the step by which it moves, in milliseconds. */
const windowMs: Millis = 1000;
const stepMs: Millis = 100;

/** Service that counts as recovered, as a share of that before the fault. */
const recoveredShare = 0.95;

/** Silence after which the baseline gives a stream up, in milliseconds. */
const fixedTimeoutMs: Millis = 2000;

/** A fault: what it does, and which streams it cuts. */
interface Fault {
  readonly name: string;
  readonly strike: (w: Simulation) => Promise<void> | void;
}

const faults: readonly Fault[] = [
  { name: 'stage death', strike: (w) => w.killUpstream('s00') },
  {
    name: 'replica death',
    strike: (w) => {
      w.killUpstream('s00');
      w.killUpstream('s01');
    },
  },
  {
    name: 'link degraded',
    strike: (w) => {
      w.world.upstreams.get('s01')!.slow = 100;
    },
  },
  { name: 'entry death', strike: (w) => w.killNode('n7') },
  { name: 'leader death', strike: (w) => w.killNode(w.leader!.id) },
  {
    name: 'voter silent',
    strike: (w) => {
      const voter = ['n1', 'n2', 'n3'].find((n) => n !== w.leader?.id)!;
      for (const n of w.nodes.keys()) {
        w.net.cut(NodeId(voter), NodeId(n));
        w.net.cut(NodeId(n), NodeId(voter));
      }
    },
  },
  {
    name: 'data centre lost',
    strike: (w) => {
      w.nodesIn('east').forEach((n) => w.killNode(n));
      for (const u of w.world.upstreams.values()) {
        if (u.announcement.dataCentre === 'east') w.killUpstream(u.announcement.id);
      }
    },
  },
  {
    name: 'second loss after a repair',
    strike: async (w) => {
      w.killUpstream('s00');
      await w.clock.advance(4000);
      w.restartStage('s00');
      await w.clock.advance(2000);
      w.killUpstream('s01');
    },
  },
];

/** Measures every fault on a fresh deployment. */
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
  await w.clock.advance(warmMs);
  const before = serviceIn(w, w.clock.now() - warmMs / 2, w.clock.now()) / (warmMs / 2);
  await fault.strike(w);
  const at = w.clock.now();
  const cut = w.callers.filter((c) => isCut(w, c));
  const passed = cut.map((c) => c.received.length);
  const prompts = cut.map((c) => c.prompt);
  const gaps = cut.map(() => 0);
  for (let t = 0; t < afterMs; t += stepMs / 10) {
    await w.clock.advance(stepMs / 10);
    cut.forEach((c, i) => {
      const silentMs = w.clock.now() - Math.max(at, c.lastTokenAt);
      if (c.prompt === prompts[i]) gaps[i] = Math.max(gaps[i]!, silentMs);
    });
  }
  const recoveredMs = recovered(w, at, Math.min(before, capacityOf(w)));
  await w.stop();
  const name = `${load.name}${fault.name}`;
  const baseline = passed.map((n) => fixedTimeoutMs + (n + 1) * tokenMs);
  return [
    { name: `${name}: streams cut`, value: cut.length, unit: '' },
    ...(cut.length === 0 ? [] : gapFigures(name, load, gaps, baseline)),
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
  { room }: Load,
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

/** Tokens in a millisecond that the stages allow that are up and not slow. */
function capacityOf(w: Simulation): number {
  const fit = [...w.world.upstreams.values()].filter((u) => u.alive && u.slow === 1);
  const roles = fit.flatMap(({ announcement: { role } }) => (role.kind === 'stage' ? [role] : []));
  const first = roles.filter((r) => r.from === 0).length;
  return (Math.min(first, roles.length - first) * slots) / tokenMs;
}

/** Whether a caller's stream runs through something that is down or slow. */
function isCut(w: Simulation, caller: Caller): boolean {
  if (caller.entry?.life.signal.aborted) return true;
  const chain = w.world.chainOf.get(caller.prompt) ?? [];
  return chain.some((id) => {
    const u = w.world.upstreams.get(id)!;
    return !u.alive || u.slow > 1;
  });
}

/** Time from `at` until service stays at its share; the window counts from its beginning. */
function recovered(w: Simulation, at: Millis, before: number): Millis {
  let recoveredAt = 0;
  for (let t = 0; t + windowMs <= afterMs; t += stepMs) {
    const rate = serviceIn(w, at + t, at + t + windowMs) / windowMs;
    if (rate < before * recoveredShare) recoveredAt = t + stepMs;
  }
  return recoveredAt;
}

function serviceIn(w: Simulation, from: Millis, to: Millis): number {
  return w.tokenTimes.filter((t) => t > from && t <= to).length;
}

function p95(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * 0.95))]!;
}

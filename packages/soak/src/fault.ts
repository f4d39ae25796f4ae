/** Faults that are injected from outside, and random series of them. */

import type { Millis, Random } from '@tanagercart/base';

/** What a fault hits: a program that serves callers, one that votes, or an upstream. */
export type Role = 'entry' | 'voter' | 'upstream';

/** One fault. `index` picks among the members of a role, modulo their number. */
export type Fault =
  /** A program is killed, and starts again later. */
  | { readonly kind: 'kill'; readonly role: Role; readonly index: number; readonly downMs: Millis }
  /** A program is asked to end, is killed if it takes too long, and starts again. */
  | { readonly kind: 'end'; readonly role: 'entry' | 'voter'; readonly index: number }
  /** All voters are killed at once. */
  | { readonly kind: 'kill-voters'; readonly downMs: Millis }
  /** A program stands still. */
  | {
      readonly kind: 'pause';
      readonly role: 'entry' | 'voter';
      readonly index: number;
      readonly forMs: Millis;
    }
  /** Bytes to, from, or to and from a program are held up. */
  | {
      readonly kind: 'cut';
      readonly role: Role;
      readonly index: number;
      readonly way: 'to' | 'from' | 'both';
      readonly forMs: Millis;
    }
  /** Open connections of a program pass nothing any more; new ones work. */
  | { readonly kind: 'silence'; readonly role: Role; readonly index: number }
  /** Open connections of a program are reset. */
  | { readonly kind: 'reset'; readonly role: Role; readonly index: number }
  | {
      readonly kind: 'delay';
      readonly role: Role;
      readonly index: number;
      readonly ms: Millis;
      readonly forMs: Millis;
    }
  /** The time of day steps, and steps back. */
  | {
      readonly kind: 'clock';
      readonly role: 'entry' | 'voter';
      readonly index: number;
      readonly ms: Millis;
      readonly forMs: Millis;
    }
  /** Each sync of a voter takes longer. */
  | {
      readonly kind: 'slow-disk';
      readonly index: number;
      readonly syncMs: Millis;
      readonly forMs: Millis;
    }
  /** A voter's disk refuses writes. */
  | { readonly kind: 'full-disk'; readonly index: number; readonly forMs: Millis }
  /** A voter loses its disk and starts again at its address. */
  | { readonly kind: 'wipe'; readonly index: number; readonly downMs: Millis }
  /** A voter is gone for good; another with an empty disk takes its place. */
  | { readonly kind: 'replace'; readonly index: number }
  /** An upstream says that it leaves, and does. */
  | { readonly kind: 'leave'; readonly index: number };

/** A fault and when it begins, from the start of the run. */
export interface TimedFault {
  readonly atMs: Millis;
  readonly fault: Fault;
}

/** How a run is filled with faults. */
export interface RandomFaultOptions {
  readonly fromMs: Millis;
  readonly toMs: Millis;
  readonly count: number;
  /** Disks may be lost only this far apart: the voter set must have been mended. */
  readonly minDiskLossGapMs: Millis;
}

/** Faults at random moments; they may come in series and overlap. */
export function randomFaults(random: Random, options: RandomFaultOptions): readonly TimedFault[] {
  const times = Array.from({ length: options.count }, () =>
    Math.round(options.fromMs + random.next() * (options.toMs - options.fromMs)),
  ).sort((a, b) => a - b);
  const faults: TimedFault[] = [];
  let diskLostAt = -Infinity;
  for (const atMs of times) {
    const mayLoseDisk = atMs - diskLostAt >= options.minDiskLossGapMs;
    const fault = randomFault(random, mayLoseDisk);
    if (fault.kind === 'wipe' || fault.kind === 'replace') diskLostAt = atMs;
    faults.push({ atMs, fault });
  }
  return faults;
}

const allKinds = [
  'kill',
  'end',
  'kill-voters',
  'pause',
  'cut',
  'silence',
  'reset',
  'delay',
  'clock',
  'slow-disk',
  'full-disk',
  'leave',
  'wipe',
  'replace',
] as const satisfies readonly Fault['kind'][];

function randomFault(random: Random, mayLoseDisk: boolean): Fault {
  const kinds = mayLoseDisk ? allKinds : allKinds.slice(0, -2);
  const kind = pick(random, kinds);
  const index = Math.floor(random.next() * 8);
  const role = pick(random, ['entry', 'voter', 'upstream'] as const);
  const program = pick(random, ['entry', 'voter'] as const);
  const forMs = between(random, 300, 3500);
  const downMs = between(random, 50, 2500);
  switch (kind) {
    case 'kill':
      return { kind, role, index, downMs };
    case 'end':
      return { kind, role: program, index };
    case 'kill-voters':
      return { kind, downMs };
    case 'pause':
      return { kind, role: program, index, forMs };
    case 'cut':
      return { kind, role, index, way: pick(random, ['to', 'from', 'both'] as const), forMs };
    case 'silence':
    case 'reset':
      return { kind, role, index };
    case 'delay':
      return { kind, role, index, ms: between(random, 20, 400), forMs };
    case 'clock':
      return { kind, role: program, index, ms: between(random, -5000, 5000), forMs };
    case 'slow-disk':
      return { kind, index, syncMs: between(random, 20, 800), forMs };
    case 'full-disk':
      return { kind, index, forMs };
    case 'leave':
    case 'replace':
      return { kind, index };
    case 'wipe':
      return { kind, index, downMs };
    default:
      return kind;
  }
}

function pick<T>(random: Random, among: readonly T[]): T {
  return among[Math.floor(random.next() * among.length)]!;
}

function between(random: Random, least: number, most: number): number {
  return Math.round(least + random.next() * (most - least));
}

/** Faults that a soak run injects into processes from outside, and random sequences of them. */

import type { Millis, Random } from '@tanagercart/base';

/** The target of a fault: an entry process that serves callers, a voter or an upstream. */
export type Role = 'entry' | 'voter' | 'upstream';

/**
 * One fault. `index` selects one of the processes of the role, modulo their number. Times are in
 * milliseconds. Failed runs print faults as JSON, so kinds and fields are stable.
 */
export type Fault =
  /** Kills a process and starts it again after `downMs`. */
  | { readonly kind: 'kill'; readonly role: Role; readonly index: number; readonly downMs: Millis }
  /** Asks a process to terminate, kills it if it takes too long, and starts it again. */
  | { readonly kind: 'end'; readonly role: 'entry' | 'voter'; readonly index: number }
  /** Kills all voters at once and starts them again after `downMs`. */
  | { readonly kind: 'kill-voters'; readonly downMs: Millis }
  /** Stops the execution of a process for `forMs`. */
  | {
      readonly kind: 'pause';
      readonly role: 'entry' | 'voter';
      readonly index: number;
      readonly forMs: Millis;
    }
  /** Blocks the bytes to a process, from it, or both ways for `forMs`. */
  | {
      readonly kind: 'cut';
      readonly role: Role;
      readonly index: number;
      readonly way: 'to' | 'from' | 'both';
      readonly forMs: Millis;
    }
  /** Open connections of a process stay open but never deliver a byte again; new ones work. */
  | { readonly kind: 'silence'; readonly role: Role; readonly index: number }
  /** Resets the open connections of a process. */
  | { readonly kind: 'reset'; readonly role: Role; readonly index: number }
  /** Delays the bytes to and from a process by `ms` each for `forMs`. */
  | {
      readonly kind: 'delay';
      readonly role: Role;
      readonly index: number;
      readonly ms: Millis;
      readonly forMs: Millis;
    }
  /** Shifts the wall clock of a process by `ms`, and back after `forMs`. */
  | {
      readonly kind: 'clock';
      readonly role: 'entry' | 'voter';
      readonly index: number;
      readonly ms: Millis;
      readonly forMs: Millis;
    }
  /** Adds `syncMs` to each sync of a voter's disk for `forMs`. */
  | {
      readonly kind: 'slow-disk';
      readonly index: number;
      readonly syncMs: Millis;
      readonly forMs: Millis;
    }
  /** Fails all writes to a voter's disk for `forMs`. */
  | { readonly kind: 'full-disk'; readonly index: number; readonly forMs: Millis }
  /** Kills a voter, deletes its data, and starts it again at the same address. */
  | { readonly kind: 'wipe'; readonly index: number; readonly downMs: Millis }
  /** Removes a voter for good and starts one with an empty disk at another address. */
  | { readonly kind: 'replace'; readonly index: number }
  /**
   * Starts a voter with an empty disk at another address, and `afterMs` later asks the one that it
   * replaces to terminate for good.
   */
  | { readonly kind: 'succeed'; readonly index: number; readonly afterMs: Millis }
  /**
   * Removes a voter for good, and starts one with an empty disk `awayMs` later, which ends for good
   * `endsAfterMs` after its start, while it joins; then another one.
   */
  | {
      readonly kind: 'replace-twice';
      readonly index: number;
      readonly awayMs: Millis;
      readonly endsAfterMs: Millis;
    }
  /**
   * An entry loses its links to all upstreams for `forMs`; callers and other programs reach it. New
   * connections hang, or are refused; open ones hang, are reset, or live on.
   */
  | {
      readonly kind: 'detach';
      readonly index: number;
      readonly how: 'hang' | 'reset' | 'refuse';
      readonly forMs: Millis;
    }
  /**
   * Sound upstreams fall silent for `forMs`, and then handle what they have received; those that
   * have only just been silent do not. Where none `accepts`, no connection to them opens meanwhile.
   */
  | {
      readonly kind: 'mute';
      readonly indexes: readonly number[];
      readonly accepts: boolean;
      readonly forMs: Millis;
    }
  /** Tells all entries that their settings may have changed. */
  | { readonly kind: 'reload' }
  /** Asks the entries to terminate, one after the other, and starts each of them again. */
  | { readonly kind: 'roll' }
  /** An upstream announces that it is draining, and then stops. */
  | { readonly kind: 'leave'; readonly index: number }
  /** An upstream names a limit of `perSecond` requests in its responses for `forMs`. */
  | {
      readonly kind: 'limit';
      readonly index: number;
      readonly perSecond: number;
      readonly forMs: Millis;
    };

/** A fault and when it begins, in milliseconds after the start of the run's faults. */
export interface TimedFault {
  readonly atMs: Millis;
  readonly fault: Fault;
}

/** The number and times of random faults. */
export interface RandomFaultOptions {
  readonly fromMs: Millis;
  readonly toMs: Millis;
  readonly count: number;
  /**
   * Minimum time between two faults that lose a disk. The voter set must have been repaired in
   * between, since a second lost disk may leave no quorum with the data.
   */
  readonly minDiskLossGapMs: Millis;
}

/** Whether a fault loses a disk. */
export function losesDisk({ fault }: TimedFault): boolean {
  return fault.kind === 'wipe' || fault.kind === 'replace' || fault.kind === 'replace-twice';
}

/** Draws `count` faults at random times between `fromMs` and `toMs`; they may overlap. */
export function randomFaults(random: Random, options: RandomFaultOptions): readonly TimedFault[] {
  const times = Array.from({ length: options.count }, () =>
    Math.round(options.fromMs + random.next() * (options.toMs - options.fromMs)),
  ).sort((a, b) => a - b);
  const faults: TimedFault[] = [];
  let lastDiskLossMs = -Infinity;
  for (const atMs of times) {
    const mayLoseDisk = atMs - lastDiskLossMs >= options.minDiskLossGapMs;
    const fault = randomFault(random, mayLoseDisk);
    const timed = { atMs, fault };
    if (losesDisk(timed)) lastDiskLossMs = atMs;
    faults.push(timed);
  }
  return faults;
}

/**
 * Draws `count` limits of upstreams between `fromMs` and `toMs`. They are drawn apart from the other
 * faults, so that a seed keeps the faults that it had before there were limits.
 */
export function randomLimits(
  random: Random,
  { fromMs, toMs, count }: Omit<RandomFaultOptions, 'minDiskLossGapMs'>,
): readonly TimedFault[] {
  return Array.from({ length: count }, () => {
    const forMs = between(random, 5000, toMs - fromMs);
    const atMs = between(random, fromMs, toMs - forMs);
    const perSecond = between(random, 5, 40) / 10;
    const index = Math.floor(random.next() * 8);
    return { atMs, fault: { kind: 'limit', index, perSecond, forMs } };
  });
}

/** Planned work that begins with a series of silences, if any. */
const plannedWork: readonly (Fault | undefined)[] = [
  undefined,
  undefined,
  { kind: 'reload' },
  { kind: 'reload' },
  { kind: 'roll' },
];

/** Number of upstreams that silences are drawn for. */
const upstreamCount = 8;

/**
 * Draws `count` series of silences of sound upstreams that begin between `fromMs` and `toMs`, some
 * of them beside planned work. They are drawn apart from other faults, like limits.
 */
export function randomMutes(
  random: Random,
  { fromMs, toMs, count }: Omit<RandomFaultOptions, 'minDiskLossGapMs'>,
): readonly TimedFault[] {
  return Array.from({ length: count }, () => {
    const startMs = between(random, fromMs, toMs);
    const work = pick(random, plannedWork);
    const series = muteSeries(random, startMs, toMs);
    return work ? [...series, { atMs: startMs, fault: work }] : series;
  }).flat();
}

/** One to four silences, one after the other, that begin up to `toMs`. */
function muteSeries(random: Random, startMs: Millis, toMs: Millis): readonly TimedFault[] {
  const share = pick(random, [0.2, 0.5, 1]);
  const series: TimedFault[] = [];
  let atMs = startMs;
  for (let left = between(random, 1, 4); left > 0 && atMs <= toMs; left -= 1) {
    const all = Array.from({ length: upstreamCount }, (_, i) => i);
    const indexes = all.filter(() => random.next() < share);
    const forMs = between(random, 400, 1600);
    series.push({ atMs, fault: { kind: 'mute', indexes, accepts: random.next() < 0.6, forMs } });
    atMs += forMs + between(random, 300, 1200);
  }
  return series;
}

/** When replacements of voters begin, and how many there are. */
type SuccessionOptions = Omit<RandomFaultOptions, 'minDiskLossGapMs'>;

/** Time between two replacements, after which the set has settled. */
const successionIntervalMs: Millis = 18_000;

/** Time after which a voter is lost for good, so that one disk is lost at a time. */
const failingOffsetMs: Millis = 3000;

/**
 * Draws `count` replacements of voters that begin between `fromMs` and `toMs`, one after the other:
 * planned ones, during which another voter is paused, so that the set may lose it, and such whose
 * first successor ends while it joins. After each, a voter loses its disk. They are drawn apart from
 * other faults, like limits.
 */
export function randomSuccessions(
  random: Random,
  options: SuccessionOptions,
): readonly TimedFault[] {
  return drawSuccessions(random, options, (startMs, index, other) => {
    const isPlanned = random.next() < 0.5;
    const work = isPlanned
      ? planned(random, startMs, index, other)
      : failing(random, startMs + failingOffsetMs, index);
    const wipeMs = startMs + (isPlanned ? 0 : failingOffsetMs) + between(random, 10_500, 11_500);
    const wipe: Fault = { kind: 'wipe', index: other, downMs: between(random, 50, 1500) };
    return [...work, { atMs: wipeMs, fault: wipe }];
  });
}

/** Draws the faults of one replacement after the other: of the voter `index`, beside which `other` fails. */
function drawSuccessions(
  random: Random,
  { fromMs, toMs, count }: SuccessionOptions,
  draw: (startMs: Millis, index: number, other: number) => readonly TimedFault[],
): readonly TimedFault[] {
  const starts = Array.from({ length: count }, (_, i) => fromMs + i * successionIntervalMs);
  return starts
    .filter((startMs) => startMs <= toMs)
    .flatMap((startMs) => {
      const index = Math.floor(random.next() * 3);
      const other = (index + 1 + Math.floor(random.next() * 2)) % 3;
      return draw(startMs, index, other);
    });
}

/** Time for which a successor runs beside the voter that it replaces, before that one stops. */
const succeedMs: Millis = 6000;

/**
 * Draws `count` planned replacements of voters, one after the other, at whose stop another voter loses
 * its disk. They are drawn apart from other faults, like limits.
 */
export function randomStops(random: Random, options: SuccessionOptions): readonly TimedFault[] {
  return drawSuccessions(random, options, (atMs, index, other) => {
    const wipeMs = atMs + succeedMs + between(random, 0, 300);
    const wipe: Fault = { kind: 'wipe', index: other, downMs: between(random, 50, 3000) };
    return [
      { atMs, fault: { kind: 'succeed', index, afterMs: succeedMs } },
      { atMs: wipeMs, fault: wipe },
    ];
  });
}

function planned(
  random: Random,
  atMs: Millis,
  index: number,
  paused: number,
): readonly TimedFault[] {
  const forMs = between(random, 1600, 3000);
  const pauseMs = atMs + between(random, 0, 2500);
  const afterMs = between(random, 5500, 6500);
  return [
    { atMs, fault: { kind: 'succeed', index, afterMs } },
    { atMs: pauseMs, fault: { kind: 'pause', role: 'voter', index: paused, forMs } },
  ];
}

function failing(random: Random, atMs: Millis, index: number): readonly TimedFault[] {
  const awayMs = between(random, 0, 2500);
  const endsAfterMs = between(random, 200, 900);
  return [{ atMs, fault: { kind: 'replace-twice', index, awayMs, endsAfterMs } }];
}

/** All kinds of faults; the last two lose a disk. */
const faultKinds = [
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
  const kinds = mayLoseDisk ? faultKinds : faultKinds.slice(0, -2);
  const kind = pick(random, kinds);
  const index = Math.floor(random.next() * 8);
  const role = pick(random, ['entry', 'voter', 'upstream'] as const);
  const processRole = pick(random, ['entry', 'voter'] as const);
  const forMs = between(random, 300, 3500);
  const downMs = between(random, 50, 2500);
  switch (kind) {
    case 'kill':
      return { kind, role, index, downMs };
    case 'end':
      return { kind, role: processRole, index };
    case 'kill-voters':
      return { kind, downMs };
    case 'pause':
      return { kind, role: processRole, index, forMs };
    case 'cut':
      return { kind, role, index, way: pick(random, ['to', 'from', 'both'] as const), forMs };
    case 'silence':
    case 'reset':
      return { kind, role, index };
    case 'delay':
      return { kind, role, index, ms: between(random, 20, 400), forMs };
    case 'clock':
      return { kind, role: processRole, index, ms: between(random, -5000, 5000), forMs };
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

function pick<T>(random: Random, values: readonly T[]): T {
  return values[Math.floor(random.next() * values.length)]!;
}

function between(random: Random, min: number, max: number): number {
  return Math.round(min + random.next() * (max - min));
}

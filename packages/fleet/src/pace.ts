/**
 * The rules by which the limit of a paced upstream grows and falls, and by which it is dealt to the
 * entries. Protects an upstream that has just started or recovered from a flood, and from being
 * left idle. See `docs/design/pace.md`.
 */

import { hash32, mixHashes } from '@tanagercart/base';
import type { Millis, NodeId } from '@tanagercart/base';
import type { EntryRecord, UpstreamRecord } from '@tanagercart/protocol';

/** A round has as many answers as the limit, but not more than this, as larger ones show no more. */
const maxRound = 16;

/** The limit falls where this share of a round is slow or failed. */
const badShare = 0.25;

/** Pause after a fall before the limit grows; doubles with each further fall. */
const basePauseMs: Millis = 500;
const maxPauseMs: Millis = 16_000;

/** The limit is dealt to other entries where those that have it send nothing for this long. */
const turnMs: Millis = 1500;

/**
 * A pace ends after this time without a failed answer: the upstream is then slow or unused rather
 * than unsound, which the cost of the balancer covers.
 */
const maxSoundMs: Millis = 60_000;

/** The pace of one incarnation of an upstream. */
export interface Pace {
  /** Requests that all entries together may have in progress there. */
  readonly limit: number;
  /** Grows with each change of the limit. */
  readonly step: number;
  /** Grows each time that the limit is dealt to other entries. */
  readonly turn: number;
  /** Time of the last step or turn. */
  readonly changedAt: Millis;
  /** Time before which the limit does not grow. */
  readonly growsAt: Millis;
  /** How often the limit fell, or the upstream was paced again soon. */
  readonly falls: number;
  /** Time of the last failed answer, or of the start. */
  readonly failedAt: Millis;
}

/** Answers of an upstream since a step began. */
export interface Tally {
  readonly good: number;
  /** Answers that took much longer than predicted. */
  readonly slow: number;
  /** Attempts that were refused or failed. */
  readonly failed: number;
}

export const emptyTally: Tally = { good: 0, slow: 0, failed: 0 };

/** What becomes of the limit: `kept` only deals it to other entries. */
export type Verdict = 'grown' | 'kept' | 'fell';

/** A pace at its start; `falls` are those of a pace that ended a short time ago. */
export function openPace(now: Millis, step: number, falls = 0): Pace {
  const growsAt = now + pauseMs(falls);
  return { limit: 1, step, turn: 0, changedAt: now, growsAt, falls, failedAt: now };
}

/**
 * What the answers to a round of requests make of the limit; undefined while they are too few.
 * `idleSince` is the time of the last answer, which may be earlier than the step.
 */
export function verdictOf(
  pace: Pace,
  tally: Tally,
  now: Millis,
  round = roundOf(pace.limit),
  idleSince: Millis = -Infinity,
): Verdict | undefined {
  const bad = tally.slow + tally.failed;
  if (bad > 0 && bad >= round * badShare) return 'fell';
  if (tally.good >= round && now >= pace.growsAt) return 'grown';
  const isIdle = now - Math.max(pace.changedAt, idleSince) >= turnMs;
  return isIdle ? 'kept' : undefined;
}

/** The pace after a verdict. */
export function stepPace(pace: Pace, verdict: Verdict, tally: Tally, now: Millis): Pace {
  const { limit, step, turn, falls, failedAt } = pace;
  switch (verdict) {
    case 'grown':
      return { ...pace, limit: limit * 2, step: step + 1, changedAt: now };
    case 'fell':
      return {
        ...pace,
        limit: Math.max(1, Math.floor(limit / 2)),
        step: step + 1,
        changedAt: now,
        growsAt: now + pauseMs(falls + 1),
        falls: falls + 1,
        failedAt: tally.failed > 0 ? now : failedAt,
      };
    case 'kept':
    default:
      return { ...pace, turn: turn + 1, changedAt: now };
  }
}

/**
 * Whether an upstream with so many slots needs the pace no longer. A limit that is as large as the
 * slots still takes a round, as the entries would otherwise all find the upstream free at once.
 */
export function isPaceOver({ limit, failedAt }: Pace, slots: number, now: Millis): boolean {
  return limit > slots || now - failedAt >= maxSoundMs;
}

/** Number of answers by which a limit is judged. */
export function roundOf(limit: number): number {
  return Math.min(limit, maxRound);
}

/**
 * The part of the limit that an entry may use. All ready entries get the same number; of the rest,
 * those in the data centre of the upstream get one first, in an order that differs for each step and
 * turn. An entry that knows of no other has the whole limit.
 */
export function limitPartOf(
  { limit, step, turn }: Pick<Pace, 'limit' | 'step' | 'turn'>,
  { id, born, dataCentre }: Pick<UpstreamRecord, 'id' | 'born' | 'dataCentre'>,
  self: NodeId,
  entries: readonly EntryRecord[],
): number {
  const users = entries.filter((e) => e.phase === 'ready' && !e.isDetached);
  if (users.length === 0) return limit;
  const own = users.find((e) => e.node === self);
  if (!own) return 0;
  const even = Math.floor(limit / users.length);
  const rest = limit % users.length;
  if (rest === 0) return even;
  const key = hash32(`${id}/${born}/${step}/${turn}`);
  const weightOf = (e: EntryRecord) => mixHashes(key, hash32(e.node));
  const ownWeight = weightOf(own);
  const isBefore = (e: EntryRecord) => {
    const isNear = e.dataCentre === dataCentre;
    if (isNear !== (own.dataCentre === dataCentre)) return isNear;
    const weight = weightOf(e);
    return weight > ownWeight || (weight === ownWeight && e.node < own.node);
  };
  const rank = users.filter((e) => e !== own && isBefore(e)).length;
  return rank < rest ? even + 1 : even;
}

function pauseMs(falls: number): Millis {
  return falls === 0 ? 0 : Math.min(maxPauseMs, basePauseMs * 2 ** (falls - 1));
}

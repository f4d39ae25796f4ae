/** Decides whether a request fits on a replica without breaking a promise. */

import type { Millis } from '@tanagercart/base';
import type { AcquireCall } from '@tanagercart/protocol';
import type { Candidate } from './candidates.js';

/** What admission needs to know of a request. */
export interface Wish {
  readonly call: AcquireCall;
  readonly gapMs: Millis;
  /** Tokens that it is expected to generate. */
  readonly estimate: number;
  /** Slots that must stay free on all candidates together. */
  readonly reserve: number;
}

/** A replica for a request, with its predicted times. */
export interface Placement {
  readonly candidate: Candidate;
  readonly firstTokenMs: Millis;
  /** Time from a grant now to the end. */
  readonly totalMs: Millis;
}

/**
 * A replica where every gap promise still holds: the one that answers first, or for work that
 * yields to others the slowest, so that the fast ones stay free for those.
 */
export function placementOf(
  wish: Wish,
  candidates: readonly Candidate[],
  now: Millis,
): Placement | undefined {
  let free = 0;
  let best: Placement | undefined;
  for (const candidate of candidates) {
    const { load } = candidate;
    free += Math.max(0, load.free);
    if (load.free <= 0 || !gapHolds(candidate, wish.gapMs)) continue;
    const placement = placementOn(wish, candidate, load.running + 1, now);
    const { totalMs } = placement;
    const better = !best || (wish.reserve > 0 ? totalMs > best.totalMs : totalMs < best.totalMs);
    if (better) best = placement;
  }
  return free > wish.reserve ? best : undefined;
}

/** What a replica that runs `running` sequences would do for a request. */
export function placementOn(
  wish: Wish,
  candidate: Candidate,
  running: number,
  now: Millis,
): Placement {
  const firstTokenMs = firstTokenOn(candidate, wish.call, now);
  const totalMs = firstTokenMs + wish.estimate * candidate.load.model.stepMs(running);
  return { candidate, firstTokenMs, totalMs };
}

/** Predicted time from a grant now to the first token. */
export function firstTokenOn(c: Candidate, call: AcquireCall, now: Millis): Millis {
  const prefill = call.promptTokens + c.load.unreadTokens(now);
  return c.load.model.firstTokenMs(c.load.running + 1, prefill);
}

function gapHolds(c: Candidate, gapMs: Millis): boolean {
  const { load } = c;
  return load.model.stepMs(load.running + 1) <= Math.min(gapMs, load.tightestGapMs);
}

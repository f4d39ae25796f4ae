/**
 * Times at which refused callers come back. They fill the room that is expected to become free, the
 * urgent ones first, instead of all coming at once; the room is kept for them when they are due.
 */

import type { Millis } from '@tanagercart/base';

/** A refused request that needs a time. */
export interface Refused {
  readonly priority: number;
  readonly tokens: number;
  /** Rate at which room becomes free for its priority. */
  readonly tokensPerSecond: number;
  /** Longest time after which it may come back. */
  readonly latestMs: Millis;
  /** Random number from 0 to 1, which spreads callers that were refused together. */
  readonly spread: number;
}

/** When a refused caller comes back. */
export interface Return {
  readonly afterMs: Millis;
  /** Whether room was booked for it; otherwise no room is expected in time. */
  readonly isBooked: boolean;
}

const stepMs: Millis = 100;

/** Earliest return: the answer has to reach the caller, and what is refused now is not free yet. */
const minReturnMs: Millis = 100;

/** A booking is kept for a caller from so long before it is due to so long after. */
const keptBeforeMs: Millis = 200;
const keptAfterMs: Millis = 400;

/** Callers for which no room is expected come back in the last part of the time that they wait. */
const lateSpread = 0.25;

/** Longest time ahead for which room is booked. */
const horizonMs: Millis = 10_000;

/** The bookings of one entry for one service. */
export class ReturnSchedule {
  /** Booked tokens by priority, by the number of the step since time 0. */
  private readonly steps = new Map<number, number[]>();
  private firstStep = -Infinity;

  static create(): ReturnSchedule {
    return new ReturnSchedule();
  }

  /** Finds the first time at which there is room beside bookings of as urgent requests. */
  book(refused: Refused, now: Millis): Return {
    const { priority, tokens, tokensPerSecond, spread } = refused;
    const latestMs = Math.max(0, Math.min(refused.latestMs, horizonMs));
    this.drop(now);
    let booked = 0;
    const last = Math.floor((now + latestMs) / stepMs) - 1;
    const earliest = Math.ceil((now + minReturnMs) / stepMs);
    for (let step = Math.floor(now / stepMs); step <= last; step += 1) {
      booked += this.bookedIn(step, priority);
      const freedBy = (tokensPerSecond * ((step + 1) * stepMs - now)) / 1000;
      if (step < earliest || booked + tokens > freedBy) continue;
      this.add(step, priority, tokens);
      return { afterMs: (step + spread) * stepMs - now, isBooked: true };
    }
    const lateMs = latestMs * (1 - lateSpread * spread);
    return { afterMs: Math.max(lateMs, minReturnMs), isBooked: false };
  }

  /** Tokens that are kept now for callers that are more urgent than `priority`. */
  keptFor(priority: number, now: Millis): number {
    if (this.steps.size === 0) return 0;
    let kept = 0;
    for (let step = firstDue(now); step <= lastDue(now); step += 1) {
      kept += this.bookedIn(step, priority - 1);
    }
    return kept;
  }

  /** Gives the room that is kept for a priority to an admitted request of it. */
  take(priority: number, tokens: number, now: Millis): void {
    let left = tokens;
    for (let step = firstDue(now); step <= lastDue(now) && left > 0; step += 1) {
      const booked = this.steps.get(step);
      const taken = Math.min(left, booked?.[priority] ?? 0);
      if (booked && taken > 0) booked[priority]! -= taken;
      left -= taken;
    }
  }

  /** Tokens booked in a step for `priority` and more urgent ones. */
  private bookedIn(step: number, priority: number): number {
    const booked = this.steps.get(step) ?? [];
    let sum = 0;
    for (let i = 0; i <= priority; i += 1) sum += booked[i] ?? 0;
    return sum;
  }

  private add(step: number, priority: number, tokens: number): void {
    const booked = this.steps.get(step) ?? [];
    for (let i = booked.length; i <= priority; i += 1) booked.push(0);
    booked[priority]! += tokens;
    this.steps.set(step, booked);
  }

  /** Drops the bookings of callers that did not come. */
  private drop(now: Millis): void {
    const first = firstDue(now);
    if (first === this.firstStep) return;
    this.firstStep = first;
    for (const step of this.steps.keys()) if (step < first) this.steps.delete(step);
  }
}

function firstDue(now: Millis): number {
  return Math.floor((now - keptAfterMs) / stepMs);
}

function lastDue(now: Millis): number {
  return Math.floor((now + keptBeforeMs) / stepMs);
}

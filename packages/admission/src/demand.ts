/** Moving rates of what requests ask for. */

import type { Millis } from '@tanagercart/base';

/**
 * Time constant of the rates. Requests take some seconds, so that the rates of this time tell what
 * will be held; an entry with 5 requests a second has 10 in it.
 */
export const demandWindowMs: Millis = 2000;

/** Priorities are told apart up to this one; all less urgent ones count as it. */
export const lastPriority = 7;

/** The priority as an index from 0, the most urgent, to `lastPriority`. */
export function priorityIndex(priority: number): number {
  return Math.min(lastPriority, Math.max(0, Math.round(priority)));
}

/** The rate of amounts, as an exponential moving average. */
export class MovingRate {
  private amount = 0;
  private at: Millis = 0;

  static create(): MovingRate {
    return new MovingRate();
  }

  record(amount: number, now: Millis): void {
    this.amount = this.amountAt(now) + amount;
    this.at = now;
  }

  /** Amount per second. */
  perSecond(now: Millis): number {
    return (this.amountAt(now) * 1000) / demandWindowMs;
  }

  private amountAt(now: Millis): number {
    return this.amount === 0 ? 0 : this.amount * Math.exp((this.at - now) / demandWindowMs);
  }
}

/** Tokens per second that requests of each priority ask for. */
export class Demand {
  private readonly rates: MovingRate[] = [];

  static create(): Demand {
    return new Demand();
  }

  /** Records the arrival of a request, whether or not it is admitted. */
  record(priority: number, tokens: number, now: Millis): void {
    while (this.rates.length <= priority) this.rates.push(MovingRate.create());
    this.rates[priority]!.record(tokens, now);
  }

  /** Tokens per second by priority; priorities without requests may be missing at the end. */
  perSecond(now: Millis): readonly number[] {
    return this.rates.map((rate) => rate.perSecond(now));
  }
}

/** The sum of rates by priority; a missing priority counts as none. */
export function addRates(a: readonly number[], b: readonly number[]): readonly number[] {
  const [longer, shorter] = a.length < b.length ? [b, a] : [a, b];
  return longer.map((rate, i) => rate + (shorter[i] ?? 0));
}

/** The sum over all priorities. */
export function totalOf(rates: readonly number[]): number {
  return rates.reduce((n, rate) => n + rate, 0);
}

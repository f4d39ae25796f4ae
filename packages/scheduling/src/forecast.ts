/** Forecasts arrivals from their recent rate. */

import type { Clock, Millis } from '@tanagercart/base';

/** Time over which the rate of arrivals is averaged, in milliseconds. */
const windowMs: Millis = 500;

/** Standard deviations of a Poisson count that a forecast covers. */
const deviations = 2;

/** An exponentially decaying rate of arrivals. */
export class Forecast {
  private weight = 0;
  private at: Millis;

  private constructor(private readonly clock: Clock) {
    this.at = clock.now();
  }

  static create(clock: Clock): Forecast {
    return new Forecast(clock);
  }

  /** Counts one arrival. */
  arrived(): void {
    this.decay();
    this.weight += 1;
  }

  /** Arrivals to be ready for within `ms`. */
  within(ms: Millis): number {
    this.decay();
    const expected = (this.weight * ms) / windowMs;
    return Math.ceil(expected + deviations * Math.sqrt(expected));
  }

  private decay(): void {
    const now = this.clock.now();
    this.weight *= Math.exp((this.at - now) / windowMs);
    this.at = now;
  }
}

/** Forecasts of arrivals, one for each urgency. */
export class Forecasts {
  private readonly byUrgency = new Map<number, Forecast>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Forecasts {
    return new Forecasts(clock);
  }

  /** Counts one arrival. */
  arrived(urgency: number): void {
    const known = this.byUrgency.get(urgency) ?? Forecast.create(this.clock);
    known.arrived();
    this.byUrgency.set(urgency, known);
  }

  /** Arrivals more urgent than `urgency` to be ready for within `ms`. */
  before(urgency: number, ms: Millis): number {
    let n = 0;
    for (const [at, forecast] of this.byUrgency) if (at < urgency) n += forecast.within(ms);
    return n;
  }
}

/**
 * Forecasts the arrivals of requests from their recent rate. Used to keep slots free for urgent
 * requests that are likely to arrive before a preemption can free a slot for them.
 */

import type { Clock, Millis } from '@tanagercart/base';

/** Time constant of the exponential decay of the arrival count, in milliseconds. */
const timeConstantMs: Millis = 500;

/** A forecast covers the expected Poisson count plus this many standard deviations. */
const standardDeviations = 2;

/** Arrival rate, averaged with exponential decay. */
export class ArrivalForecast {
  private decayedCount = 0;
  private decayedAt: Millis;

  private constructor(private readonly clock: Clock) {
    this.decayedAt = clock.now();
  }

  static create(clock: Clock): ArrivalForecast {
    return new ArrivalForecast(clock);
  }

  recordArrival(): void {
    this.decay();
    this.decayedCount += 1;
  }

  /** Upper estimate of the arrivals within the next `ms`. */
  arrivalsWithin(ms: Millis): number {
    this.decay();
    const expected = (this.decayedCount * ms) / timeConstantMs;
    return Math.ceil(expected + standardDeviations * Math.sqrt(expected));
  }

  private decay(): void {
    const now = this.clock.now();
    this.decayedCount *= Math.exp((this.decayedAt - now) / timeConstantMs);
    this.decayedAt = now;
  }
}

/** One forecast for each urgency. */
export class ArrivalForecasts {
  private readonly byUrgency = new Map<number, ArrivalForecast>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ArrivalForecasts {
    return new ArrivalForecasts(clock);
  }

  recordArrival(urgency: number): void {
    const forecast = this.byUrgency.get(urgency) ?? ArrivalForecast.create(this.clock);
    forecast.recordArrival();
    this.byUrgency.set(urgency, forecast);
  }

  /** Upper estimate of the arrivals within the next `ms` that are more urgent than `urgency`. */
  moreUrgentWithin(urgency: number, ms: Millis): number {
    let arrivals = 0;
    for (const [other, f] of this.byUrgency) if (other < urgency) arrivals += f.arrivalsWithin(ms);
    return arrivals;
  }
}

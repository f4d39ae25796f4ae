/**
 * Retry budget of each service. Protects a service that fails widely from retry storms: over all
 * entries together, retries stay below a fraction of the requests for the service, so that they
 * never add to its load for long.
 */

import type { Clock, Millis, ServiceId } from '@tanagercart/base';

/** Retries that all entries together may send to one service. */
export interface RetryBounds {
  /** Retries allowed per request. */
  readonly ratio: number;
  /** Retries allowed in one window beyond the ratio, over all entries. */
  readonly slack: number;
  readonly windowMs: Millis;
}

/** Slices of the sliding window; each is counted on its own. */
const slicesPerWindow = 10;

/**
 * Fraction of the bounds that is used: entries count independently of each other, and the windows
 * of whoever checks the bounds may start at other times.
 */
const safetyFactor = 0.85;

interface Slice {
  readonly number: number;
  requests: number;
  retries: number;
}

/** Counts the requests and retries of this entry over a sliding window. */
export class RetryBudget {
  private readonly slices = new Map<ServiceId, Slice[]>();

  private constructor(
    private readonly clock: Clock,
    private readonly bounds: RetryBounds,
    private readonly entryCount: () => number,
  ) {}

  /** `entryCount` returns the number of entries that share the slack. */
  static create(clock: Clock, bounds: RetryBounds, entryCount: () => number): RetryBudget {
    return new RetryBudget(clock, bounds, entryCount);
  }

  /** Counts a new request, which adds to the budget. Its retries are not counted here. */
  recordRequest(service: ServiceId): void {
    this.currentSlice(service).requests += 1;
  }

  /** Takes one retry from the budget; returns false where the budget is exhausted. */
  tryAcquire(service: ServiceId): boolean {
    const slice = this.currentSlice(service);
    const recent = this.slices.get(service)!;
    const requests = recent.reduce((sum, s) => sum + s.requests, 0);
    const retries = recent.reduce((sum, s) => sum + s.retries, 0);
    const slack = this.bounds.slack / Math.max(1, this.entryCount());
    if (retries + 1 > (requests * this.bounds.ratio + slack) * safetyFactor) return false;
    slice.retries += 1;
    return true;
  }

  /** Drops the slices that have left the window and returns the one of the present time. */
  private currentSlice(service: ServiceId): Slice {
    const number = Math.floor((this.clock.now() * slicesPerWindow) / this.bounds.windowMs);
    const recent = (this.slices.get(service) ?? []).filter(
      (s) => s.number > number - slicesPerWindow,
    );
    this.slices.set(service, recent);
    const last = recent.at(-1);
    if (last?.number === number) return last;
    const fresh: Slice = { number, requests: 0, retries: 0 };
    recent.push(fresh);
    return fresh;
  }
}

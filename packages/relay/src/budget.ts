/**
 * Bounds repeats at each service. Answers a service that fails widely: repeats stay below a share
 * of the requests for it, over all entries together, so that they never add to its load for long.
 */

import type { Clock, Millis, ServiceId } from '@tanagercart/base';

/** What all entries together may repeat at one service. */
export interface RetryBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  /** Repeats beyond that in one window, by all entries. */
  readonly slack: number;
  readonly windowMs: Millis;
}

/** Parts of a window that are counted by themselves. */
const slices = 10;

/** Share of the bounds that is used, as entries count apart and windows may lie otherwise. */
const usedShare = 0.85;

interface Slice {
  readonly number: number;
  requests: number;
  repeats: number;
}

/** Counts requests and repeats at this entry. */
export class RetryBudget {
  private readonly counts = new Map<ServiceId, Slice[]>();

  private constructor(
    private readonly clock: Clock,
    private readonly bounds: RetryBounds,
    private readonly entryCount: () => number,
  ) {}

  /** `entryCount` tells over how many entries the slack is spread. */
  static create(clock: Clock, bounds: RetryBounds, entryCount: () => number): RetryBudget {
    return new RetryBudget(clock, bounds, entryCount);
  }

  recordRequest(service: ServiceId): void {
    this.slice(service).requests += 1;
  }

  /** Whether a request may be sent once more; counts it where it may. */
  tryAcquire(service: ServiceId): boolean {
    const slice = this.slice(service);
    const recent = this.counts.get(service)!;
    const requests = recent.reduce((sum, s) => sum + s.requests, 0);
    const repeats = recent.reduce((sum, s) => sum + s.repeats, 0);
    const slack = this.bounds.slack / Math.max(1, this.entryCount());
    if (repeats + 1 > (requests * this.bounds.ratio + slack) * usedShare) return false;
    slice.repeats += 1;
    return true;
  }

  private slice(service: ServiceId): Slice {
    const number = Math.floor((this.clock.now() * slices) / this.bounds.windowMs);
    const recent = (this.counts.get(service) ?? []).filter((s) => s.number > number - slices);
    this.counts.set(service, recent);
    const last = recent.at(-1);
    if (last?.number === number) return last;
    const fresh: Slice = { number, requests: 0, repeats: 0 };
    recent.push(fresh);
    return fresh;
  }
}

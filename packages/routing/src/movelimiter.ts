/**
 * Limits how many callers an overloaded node moves to other nodes. Reported loads lag behind, so
 * without a limit a node would go on moving callers after enough have left, and overload the others
 * in turn. The limiter is a token bucket that holds at most the excess load.
 */

import type { Clock, Millis } from '@tanagercart/base';

/** Time until a move shows in the reported loads, in milliseconds. */
const reportLagMs: Millis = 1500;

/** Share of the excess that is moved within `reportLagMs`. */
const gain = 0.7;

/** Length of the windows in which requests are counted by caller, in milliseconds. */
const windowMs: Millis = 2000;

/** Most callers counted in a window; any other caller counts as one request of load. */
const maxCountedCallers = 5000;

/** Decides which callers are advised to move. */
export class MoveLimiter {
  /** Load that may be moved now, in requests in progress. */
  private budget = 0;
  private refilledAt: Millis;
  private countedFrom: Millis;
  /** Requests by caller in the current window. */
  private current = new Map<string, number>();
  /** Requests by caller in the window before. */
  private previous = new Map<string, number>();

  private constructor(private readonly clock: Clock) {
    this.refilledAt = clock.now();
    this.countedFrom = clock.now();
  }

  static create(clock: Clock): MoveLimiter {
    return new MoveLimiter(clock);
  }

  /**
   * Counts a request of `caller` and returns whether the caller should move. This node has
   * `ownLoad` requests in progress, which is `excess` above the mean. The caller's share of the
   * load is estimated from its share of the recent requests.
   */
  allowMove(caller: string, ownLoad: number, excess: number): boolean {
    this.count(caller);
    this.refill(excess);
    const cost = Math.max(1, ownLoad * this.shareOf(caller));
    // A caller with more than twice the excess would only carry the overload to another node.
    if (excess <= 0 || cost > excess * 2 || this.budget < Math.min(cost, excess)) return false;
    this.budget -= cost;
    return true;
  }

  private refill(excess: number): void {
    const now = this.clock.now();
    const elapsedMs = Math.min(reportLagMs, now - this.refilledAt);
    this.refilledAt = now;
    this.budget = Math.min(
      excess,
      this.budget + (Math.max(0, excess) * gain * elapsedMs) / reportLagMs,
    );
  }

  private count(caller: string): void {
    const now = this.clock.now();
    if (now - this.countedFrom >= windowMs) {
      this.previous = now - this.countedFrom < 2 * windowMs ? this.current : new Map();
      this.current = new Map();
      this.countedFrom = now;
    }
    if (this.current.size < maxCountedCallers || this.current.has(caller)) {
      this.current.set(caller, (this.current.get(caller) ?? 0) + 1);
    }
  }

  /** The caller's share of all requests counted in the current and the previous window. */
  private shareOf(caller: string): number {
    const ownCount = (this.current.get(caller) ?? 0) + (this.previous.get(caller) ?? 0);
    return ownCount / Math.max(1, total(this.current) + total(this.previous));
  }
}

function total(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const n of counts.values()) sum += n;
  return sum;
}

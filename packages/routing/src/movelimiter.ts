/** How much work a loaded node sends elsewhere: its excess, and no more until loads are known again. */

import type { Clock, Millis } from '@tanagercart/base';

/** Time until a move shows in the loads that are told, in milliseconds. */
const reportLagMs: Millis = 1500;

/** Share of the excess that is moved in one lag. */
const gain = 0.7;

/** Time over which the answers to a caller are counted, in milliseconds. */
const windowMs: Millis = 2000;

/** Callers that are told apart at most; the work of any others is taken for that of one request. */
const maxCountedCallers = 5000;

/** Decides which answers carry the advice to move. */
export class MoveLimiter {
  private budget = 0;
  private refilledAt: Millis;
  private windowStart: Millis;
  private current = new Map<string, number>();
  private previous = new Map<string, number>();

  private constructor(private readonly clock: Clock) {
    this.refilledAt = clock.now();
    this.windowStart = clock.now();
  }

  static create(clock: Clock): MoveLimiter {
    return new MoveLimiter(clock);
  }

  /** Notes an answer to a caller, on a node with `own` requests in progress of which `excess` are too many. */
  allowMove(caller: string, ownLoad: number, excess: number): boolean {
    this.count(caller);
    this.refill(excess);
    const cost = Math.max(1, ownLoad * this.shareOf(caller));
    // A caller with more work than the excess would only carry it to another node.
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
    if (now - this.windowStart >= windowMs) {
      this.previous = now - this.windowStart < 2 * windowMs ? this.current : new Map();
      this.current = new Map();
      this.windowStart = now;
    }
    if (this.current.size < maxCountedCallers || this.current.has(caller)) {
      this.current.set(caller, (this.current.get(caller) ?? 0) + 1);
    }
  }

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

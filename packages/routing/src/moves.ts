/** How much work a loaded node sends elsewhere: its excess, and no more until loads are known again. */

import type { Clock, Millis } from '@tanagercart/base';

/** Time until a move shows in the loads that are told, in milliseconds. */
const lagMs: Millis = 1500;

/** Share of the excess that is moved in one lag. */
const gain = 0.7;

/** Time over which the answers to a caller are counted, in milliseconds. */
const windowMs: Millis = 2000;

/** Callers that are told apart at most; the work of any others is taken for that of one request. */
const callersCounted = 5000;

/** Decides which answers carry the advice to move. */
export class Moves {
  private budget = 0;
  private filledAt: Millis;
  private countedFrom: Millis;
  private current = new Map<string, number>();
  private previous = new Map<string, number>();

  private constructor(private readonly clock: Clock) {
    this.filledAt = clock.now();
    this.countedFrom = clock.now();
  }

  static create(clock: Clock): Moves {
    return new Moves(clock);
  }

  /** Notes an answer to a caller, on a node with `own` requests in progress of which `excess` are too many. */
  mayMove(caller: string, own: number, excess: number): boolean {
    this.count(caller);
    this.fill(excess);
    const cost = Math.max(1, own * this.shareOf(caller));
    // A caller with more work than the excess would only carry it to another node.
    if (excess <= 0 || cost > excess * 2 || this.budget < Math.min(cost, excess)) return false;
    this.budget -= cost;
    return true;
  }

  private fill(excess: number): void {
    const now = this.clock.now();
    const since = Math.min(lagMs, now - this.filledAt);
    this.filledAt = now;
    this.budget = Math.min(excess, this.budget + (Math.max(0, excess) * gain * since) / lagMs);
  }

  private count(caller: string): void {
    const now = this.clock.now();
    if (now - this.countedFrom >= windowMs) {
      this.previous = now - this.countedFrom < 2 * windowMs ? this.current : new Map();
      this.current = new Map();
      this.countedFrom = now;
    }
    if (this.current.size < callersCounted || this.current.has(caller)) {
      this.current.set(caller, (this.current.get(caller) ?? 0) + 1);
    }
  }

  private shareOf(caller: string): number {
    const mine = (this.current.get(caller) ?? 0) + (this.previous.get(caller) ?? 0);
    return mine / Math.max(1, total(this.current) + total(this.previous));
  }
}

function total(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const n of counts.values()) sum += n;
  return sum;
}

/**
 * Spaces the leader's replies to entries. Used when a large fleet follows many changes, or a new
 * leader is called by all entries at once: the replies then leave processor time for the heartbeats
 * between voters, without which the leader would lose its lease.
 */

import type { Clock, Millis, UtilizationMeter } from '@tanagercart/base';

/** Smallest time between two replies. */
const minSpacingMs: Millis = 2;

/** Time between two replies at the start of a term, until the load has been measured. */
const initialSpacingMs: Millis = 4;

/** Upper bound of the time in which each entry gets one reply, so that its data is not outdated. */
const maxRoundMs: Millis = 1000;

/** Time for which a reply may be late beyond what its caller asked to be held; callers wait more. */
const patienceMs: Millis = 400;

/** Share of time in which the event loop may work; the rest lets it react quickly. */
const targetUtilization = 0.6;

/** Interval at which the load is measured. */
const measureIntervalMs: Millis = 250;

/** Bounds of the change of the spacing after one measurement. */
const minChange = 0.8;
const maxChange = 2;

/** Assigns times to replies, further apart the busier the process is. */
export class ReplyPacer {
  private spacingMs = initialSpacingMs;
  private nextAt: Millis = -Infinity;
  private measuredAt: Millis;

  private constructor(
    private readonly clock: Clock,
    private readonly utilization: UtilizationMeter,
  ) {
    this.measuredAt = clock.now();
    utilization();
  }

  static create(clock: Clock, utilization: UtilizationMeter): ReplyPacer {
    return new ReplyPacer(clock, utilization);
  }

  /**
   * Waits at least `minDelayMs`, and until it is the turn of the next reply to one of `callers`. A
   * call that arrived at `arrivedAt` and may be held for `holdMs` does not wait until it times out.
   */
  async wait(
    callers: number,
    call: { readonly arrivedAt: Millis; readonly holdMs: Millis },
    minDelayMs: Millis,
  ): Promise<void> {
    const now = this.clock.now();
    this.adjust(now);
    const spacingMs = Math.min(this.spacingMs, maxRoundMs / Math.max(1, callers));
    const latestAt = call.arrivedAt + call.holdMs + patienceMs;
    const dueAt = Math.min(Math.max(now + minDelayMs, this.nextAt), latestAt);
    this.nextAt = dueAt + spacingMs;
    if (dueAt > now) await this.clock.sleep(dueAt - now);
  }

  private adjust(now: Millis): void {
    if (now - this.measuredAt < measureIntervalMs) return;
    this.measuredAt = now;
    const change = this.utilization() / targetUtilization;
    const spacingMs = this.spacingMs * Math.min(maxChange, Math.max(minChange, change));
    this.spacingMs = Math.min(maxRoundMs, Math.max(minSpacingMs, spacingMs));
  }
}

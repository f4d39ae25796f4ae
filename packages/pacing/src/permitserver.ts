/** The owner's side of permits. Schedules are only in memory: a new owner starts without permits. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { PermitCall, PermitReply } from '@tanagercart/protocol';
import type { NamedLimits } from './namedlimits.js';
import { PermitSchedule, permitRate } from './permitschedule.js';

/**
 * Share of the limit that a standby gives. Where nodes reach different ones of owner and standby,
 * an upstream gets at most this much more than its limit.
 */
const standbyShare = 0.5;

/** A schedule that nobody has asked for this long is dropped. */
const idleMs: Millis = 60_000;

interface UsedSchedule {
  readonly schedule: PermitSchedule;
  usedAt: Millis;
}

/** Gives the permits of the upstreams that this node is asked for. */
export class PermitServer {
  /** By incarnation, and apart for those asked of this node as the standby. */
  private readonly schedules = new Map<string, UsedSchedule>();

  private constructor(
    private readonly clock: Clock,
    private readonly limits: NamedLimits,
  ) {}

  static create(clock: Clock, limits: NamedLimits): PermitServer {
    return new PermitServer(clock, limits);
  }

  /** Gives one permit to the node `from`, or refuses it. */
  handle(from: NodeId, { notice, maxWaitMs, asStandby }: PermitCall): PermitReply {
    const { clock, limits } = this;
    limits.record(notice, { from });
    const upstream = { id: notice.upstream, born: notice.born };
    const newest = limits.noticeOf(upstream);
    const { perSecond } = newest;
    if (perSecond === undefined) return { kind: 'unlimited', notice: newest };
    const now = clock.now();
    const rate = permitRate(perSecond) * (asStandby ? standbyShare : 1);
    const schedule = this.scheduleOf(`${upstream.id} ${upstream.born} ${asStandby}`, rate, now);
    return { ...schedule.reserve(rate, maxWaitMs, now), notice: newest };
  }

  private scheduleOf(key: string, rate: number, now: Millis): PermitSchedule {
    const used = this.schedules.get(key);
    if (used) {
      used.usedAt = now;
      return used.schedule;
    }
    for (const [k, { usedAt }] of this.schedules) {
      if (now - usedAt >= idleMs) this.schedules.delete(k);
    }
    const schedule = PermitSchedule.create(rate, now);
    this.schedules.set(key, { schedule, usedAt: now });
    return schedule;
  }
}

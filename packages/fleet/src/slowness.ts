/**
 * Polls upstreams for their speed, at the leader. Protects against upstreams that become slow while
 * they continue to serve: every path through one is slow, and no request shows which of its stages
 * is the cause.
 */

import type { Clock, Logger, Millis, UpstreamId } from '@tanagercart/base';
import type { Slowness, UpstreamRecord } from '@tanagercart/protocol';
import type { OrderClient } from './placer.js';

/** Interval between two polls of one upstream. */
const pollIntervalMs: Millis = 2000;

/** A factor below this does not count as slow. */
const minSlowFactor = 1.3;

export interface SlownessMonitorOptions {
  readonly orders: Pick<OrderClient, 'report'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** The last poll of an upstream, and the factor by which it was slower than its kind. */
interface Poll {
  readonly born: number;
  at: Millis;
  factor: number;
}

/** Keeps the slowness that each upstream reported last. */
export class SlownessMonitor {
  private readonly polls = new Map<UpstreamId, Poll>();
  /** Time of the last call of `poll`. */
  private polledAt: Millis;

  private constructor(private readonly o: SlownessMonitorOptions) {
    this.polledAt = o.clock.now();
  }

  static create(options: SlownessMonitorOptions): SlownessMonitor {
    return new SlownessMonitor(options);
  }

  /** Upstreams that are slower than their kind. */
  get slow(): readonly Slowness[] {
    return [...this.polls]
      .filter(([, { factor }]) => factor >= minSlowFactor)
      .map(([id, { factor }]) => ({ id, factor }));
  }

  /**
   * Polls upstreams for which a poll is due, those first that were not polled for longest. The polls
   * are spread evenly over the interval, as a new leader has much else to do.
   */
  poll(records: readonly UpstreamRecord[]): void {
    const now = this.o.clock.now();
    const limit = Math.ceil((records.length * (now - this.polledAt)) / pollIntervalMs);
    this.polledAt = now;
    const due = records.filter((r) => now - this.lastPollOf(r) >= pollIntervalMs);
    due.sort((x, y) => this.lastPollOf(x) - this.lastPollOf(y));
    for (const record of due.slice(0, limit)) this.startPoll(record, now);
  }

  /** Time of the last poll of an incarnation; if there was none, a time at which the next one is due. */
  private lastPollOf({ id, born }: UpstreamRecord): Millis {
    const known = this.polls.get(id);
    return known?.born === born ? known.at : -pollIntervalMs;
  }

  private startPoll(record: UpstreamRecord, now: Millis): void {
    const known = this.polls.get(record.id);
    const factor = known?.born === record.born ? known.factor : 1;
    const current: Poll = { born: record.born, at: now, factor };
    this.polls.set(record.id, current);
    void this.pollUpstream(record, current);
  }

  private async pollUpstream(record: UpstreamRecord, current: Poll): Promise<void> {
    const report = await this.o.orders.report(record);
    if (report.isErr()) return;
    const { slowness } = report.value;
    const wasSlow = current.factor >= minSlowFactor;
    current.factor = slowness;
    if (wasSlow === slowness >= minSlowFactor) return;
    const message = wasSlow ? 'Upstream is as fast as its kind again.' : 'Upstream is slow.';
    this.o.logger.info(message, { upstream: record.id, address: record.address, slowness });
  }
}

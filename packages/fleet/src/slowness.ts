/**
 * Polls upstreams for their speed, at the leader. Protects against upstreams that become slow while
 * they continue to serve: every path through one is slow, and no request shows which of its stages
 * is the cause.
 */

import type { Clock, Logger, Millis, UpstreamId } from '@tanagercart/base';
import type { Slowness, UpstreamRecord } from '@tanagercart/protocol';
import type { OrderClient } from './placer.js';

/** Interval at which each upstream is polled. */
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

  private constructor(private readonly o: SlownessMonitorOptions) {}

  static create(options: SlownessMonitorOptions): SlownessMonitor {
    return new SlownessMonitor(options);
  }

  /** Upstreams that are slower than their kind. */
  get slow(): readonly Slowness[] {
    return [...this.polls]
      .filter(([, { factor }]) => factor >= minSlowFactor)
      .map(([id, { factor }]) => ({ id, factor }));
  }

  /** Polls the upstreams for which a poll is due. */
  poll(records: readonly UpstreamRecord[]): void {
    const now = this.o.clock.now();
    for (const record of records) {
      const known = this.polls.get(record.id);
      if (known?.born === record.born && now - known.at < pollIntervalMs) continue;
      const factor = known?.born === record.born ? known.factor : 1;
      const current: Poll = { born: record.born, at: now, factor };
      this.polls.set(record.id, current);
      void this.pollUpstream(record, current);
    }
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

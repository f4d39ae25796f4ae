/**
 * Asks upstreams how fast they are, at the leader. Answers upstreams that turn slow while they
 * serve on: every path through one is late, and no request can tell which of its stages it was.
 */

import type { Clock, Logger, Millis, UpstreamId } from '@tanagercart/base';
import type { Slowness, UpstreamRecord } from '@tanagercart/protocol';
import type { OrderClient } from './placer.js';

/** How often each upstream is asked. */
const askMs: Millis = 2000;

/** A factor below this does not count as slow. */
const leastFactor = 1.3;

export interface PacerOptions {
  readonly orders: Pick<OrderClient, 'report'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface Asked {
  readonly born: number;
  at: Millis;
  factor: number;
}

/** Knows the pace of upstreams, as they reported it last. */
export class Pacer {
  private readonly asked = new Map<UpstreamId, Asked>();

  private constructor(private readonly o: PacerOptions) {}

  static create(options: PacerOptions): Pacer {
    return new Pacer(options);
  }

  /** Upstreams that are slower than their kind. */
  get slow(): readonly Slowness[] {
    return [...this.asked]
      .filter(([, { factor }]) => factor >= leastFactor)
      .map(([id, { factor }]) => ({ id, factor }));
  }

  /** Asks those that were not asked lately. */
  step(records: readonly UpstreamRecord[]): void {
    const now = this.o.clock.now();
    for (const record of records) {
      const known = this.asked.get(record.id);
      if (known?.born === record.born && now - known.at < askMs) continue;
      const factor = known?.born === record.born ? known.factor : 1;
      const asked: Asked = { born: record.born, at: now, factor };
      this.asked.set(record.id, asked);
      void this.ask(record, asked);
    }
  }

  private async ask(record: UpstreamRecord, asked: Asked): Promise<void> {
    const report = await this.o.orders.report(record);
    if (report.isErr()) return;
    const { slowness } = report.value;
    const wasSlow = asked.factor >= leastFactor;
    asked.factor = slowness;
    if (wasSlow === slowness >= leastFactor) return;
    const sentence = wasSlow ? 'Upstream is as fast as its kind again.' : 'Upstream is slow.';
    this.o.logger.info(sentence, { upstream: record.id, address: record.address, slowness });
  }
}

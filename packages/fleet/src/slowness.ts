/**
 * Polls upstreams for their speed: each entry its share, and the leader all of them while an entry
 * of an earlier version polls none. Protects against upstreams that become slow while
 * they continue to serve: every path through one is slow, and no request shows which of its stages
 * is the cause.
 */

import { OwnerTable } from '@tanagercart/base';
import type { Clock, Logger, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type { Configuration } from '@tanagercart/config';
import type { Slowness, UpstreamRecord } from '@tanagercart/protocol';
import type { OrderClient } from './placer.js';
import type { FleetView } from './view.js';

/** Interval between two polls of one upstream. */
const pollIntervalMs: Millis = 2000;

/** A factor below this does not count as slow. */
const minSlowFactor = 1.3;

/** Smallest time between two looks of an entry which polls are due. */
const shareIntervalMs: Millis = 100;

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
   * are spread evenly over the interval, as a new leader has much else to do: time beyond
   * `maxElapsedMs` since the last call lets no more of them start.
   */
  poll(records: readonly UpstreamRecord[], maxElapsedMs = Infinity): void {
    const now = this.o.clock.now();
    const elapsedMs = Math.min(now - this.polledAt, maxElapsedMs);
    const limit = Math.ceil((records.length * elapsedMs) / pollIntervalMs);
    this.polledAt = now;
    this.dropOthers(records);
    const due = records.filter((r) => now - this.lastPollOf(r) >= pollIntervalMs);
    due.sort((x, y) => this.lastPollOf(x) - this.lastPollOf(y));
    for (const record of due.slice(0, limit)) this.startPoll(record, now);
  }

  /** Time until a poll of one of these upstreams is due. */
  nextDueMs(records: readonly UpstreamRecord[]): Millis {
    const now = this.o.clock.now();
    const lastPolls = records.map((r) => this.lastPollOf(r));
    return Math.max(0, Math.min(...lastPolls) + pollIntervalMs - now);
  }

  /** Forgets upstreams that are polled no longer. */
  private dropOthers(records: readonly UpstreamRecord[]): void {
    if (this.polls.size <= records.length) return;
    const polled = new Set(records.map((r) => r.id));
    for (const id of this.polls.keys()) if (!polled.has(id)) this.polls.delete(id);
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

/** What an entry needs to poll its share. */
export interface SlownessShareOptions extends SlownessMonitorOptions {
  readonly self: NodeId;
  readonly view: Pick<FleetView, 'entries' | 'upstreams' | 'table' | 'changed'>;
}

/** Polls the upstreams of which this entry is the owner by rendezvous hashing. */
export class SlownessShare {
  private readonly monitor: SlownessMonitor;
  private owners = OwnerTable.create<UpstreamId, NodeId>([]);

  private constructor(private readonly o: SlownessShareOptions) {
    this.monitor = SlownessMonitor.create(o);
  }

  static create(options: SlownessShareOptions): SlownessShare {
    return new SlownessShare(options);
  }

  /** Those of them that are slower than their kind. */
  get slow(): readonly Slowness[] {
    return this.monitor.slow;
  }

  /**
   * Polls until `stop` is aborted. Looks again when the view has changed or the next poll is due:
   * most entries of a large fleet own one upstream or none.
   */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, view } = this.o;
    while (!stop.aborted) {
      const nextMs = this.poll();
      const polledAt = clock.now();
      await view.changed.waitUpTo(nextMs, clock, stop);
      const earlyMs = shareIntervalMs - (clock.now() - polledAt);
      if (earlyMs > 0) await clock.sleep(earlyMs, stop);
    }
  }

  /** Starts the polls that are due; returns the time until the next one is, as far as is known. */
  private poll(): Millis {
    const { view, self } = this.o;
    if (!view.table) return pollIntervalMs;
    const ready = view.entries.filter((e) => e.phase === 'ready').map((e) => e.node);
    if (!this.owners.isFor(ready)) this.owners = OwnerTable.create(ready);
    const stages = pipelineStages(view.table.config, view.upstreams.values());
    const owned = stages.filter((u) => this.owners.ownerOf(u.id) === self);
    this.monitor.poll(owned, shareIntervalMs);
    const dueMs = Math.ceil(this.monitor.nextDueMs(owned));
    return Math.min(pollIntervalMs, Math.max(shareIntervalMs, dueMs));
  }
}

/** The ready upstreams of inference services that hold layers. */
export function pipelineStages(
  config: Configuration,
  records: Iterable<UpstreamRecord>,
): readonly UpstreamRecord[] {
  const engines = new Set(config.services.filter((s) => s.engine).map((s) => s.id));
  return [...records].filter(
    (r) => r.phase === 'ready' && r.layers !== undefined && engines.has(r.service),
  );
}

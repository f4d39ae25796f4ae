/** Reports the gauges of a node at a fixed interval. */

import type { Clock, Metrics, Millis } from '@tanagercart/base';
import type { ActiveRequests } from '@tanagercart/entry';
import type { ConfigurationLease } from '@tanagercart/membership';
import type { Owner } from '@tanagercart/scheduling';
import type { SharedState } from '@tanagercart/state';

/** Interval between two reports. */
const reportIntervalMs: Millis = 1000;

/** The objects whose state the gauges show. */
export interface GaugeSource {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly lease: ConfigurationLease;
  readonly state: SharedState;
  readonly owner: Owner;
  readonly inProgress: ActiveRequests;
}

/** Reports every gauge until `signal` aborts. */
export async function reportGauges(s: GaugeSource, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    s.metrics.gauge('lease.ms', s.lease.leftMs);
    s.metrics.gauge('requests.in-progress', s.inProgress.count);
    s.metrics.gauge('grants.in-use', s.owner.grantsInUse);
    s.metrics.gauge('state.index', s.state.index);
    s.metrics.gauge('state.release', s.state.release.number);
    s.metrics.gauge('state.nodes', s.state.nodes.size);
    s.metrics.gauge('state.upstreams', s.state.upstreams.size);
    s.metrics.gauge('state.replicas', s.state.replicas.size);
    reportQueues(s);
    await s.clock.sleep(reportIntervalMs, signal);
  }
}

/**
 * Reports the queues of all tiers of the release. The owner lists only tiers with requests; if a
 * tier without any were left out, its gauge would keep the last value.
 */
function reportQueues(s: GaugeSource): void {
  const queues = new Map(s.owner.queues().map((q) => [q.tier, q]));
  const lists = [...s.state.release.priceLists.values()];
  const tiers = new Set(lists.flatMap((list) => list.tiers.map((t) => t.id)));
  for (const tier of tiers) {
    s.metrics.gauge('queue.waiting', queues.get(tier)?.waiting ?? 0, { tier });
    s.metrics.gauge('queue.running', queues.get(tier)?.running ?? 0, { tier });
  }
}

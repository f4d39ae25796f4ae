/** Several pacers in held time, for tests. */

import {
  HeldClock,
  NodeId,
  OwnerTable,
  RequestId,
  SeededRandom,
  StatsdMetrics,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { UpstreamIncarnation } from '@tanagercart/protocol';
import { Pacer } from '../src/index.js';
import type { RateLimit } from '../src/index.js';

export const upstream: UpstreamIncarnation = { id: UpstreamId('u1'), born: 1 };

/** Entries that share the limits of upstreams. */
export class PacerFleet {
  readonly clock = HeldClock.create();
  readonly network = MemoryNetwork.create(this.clock, SeededRandom.create(1));
  readonly pacers = new Map<NodeId, Pacer>();
  /** Times at which requests were sent. */
  readonly sentAt: Millis[] = [];
  private listed: readonly NodeId[];

  constructor(count: number) {
    this.listed = Array.from({ length: count }, (_, i) => NodeId(`e${i}`));
    for (const self of this.listed) this.start(self);
  }

  /** Starts an entry, or starts it again: it then knows nothing. */
  start(self: NodeId, clock: Clock = this.clock): void {
    const transport = this.network.attach(self);
    const [logger, metrics] = [silentLogger, StatsdMetrics.create()];
    const nodes = () => this.listed;
    this.pacers.set(self, Pacer.create({ self, clock, transport, logger, metrics, nodes }));
  }

  /** Ends an entry without a word; the others still list it. */
  kill(node: NodeId): void {
    this.network.detach(node);
    this.pacers.delete(node);
  }

  /** Removes an entry from the lists of all. */
  unlist(node: NodeId): void {
    this.listed = this.listed.filter((n) => n !== node);
  }

  /** The owner and the standby of the upstream. */
  get owners(): readonly NodeId[] {
    const table = OwnerTable.create<UpstreamId, NodeId>(this.listed);
    const owners = [table.ownerOf(upstream.id), table.standbyOf(upstream.id)];
    return owners.filter((node) => node !== undefined);
  }

  /** Every entry reads this limit in a response. */
  name(limit: RateLimit): void {
    for (const pacer of this.pacers.values()) pacer.record(RequestId('r'), upstream, limit);
  }

  /** Asks for a permit at an entry; records when the request is sent. Resolves with the outcome. */
  async send(node: NodeId, maxWaitMs: Millis): Promise<string> {
    const stop = new AbortController();
    const permit = await this.pacers.get(node)!.acquire(upstream, maxWaitMs, stop.signal);
    if (permit.kind === 'granted') this.sentAt.push(this.clock.now());
    return permit.kind;
  }

  /** Offers `perSecond` requests a second for `forMs`, at all entries in turn. */
  async offer(perSecond: number, forMs: Millis, maxWaitMs: Millis): Promise<void> {
    const until = this.clock.now() + forMs;
    for (let n = 0; this.clock.now() < until; n += 1) {
      const nodes = [...this.pacers.keys()];
      void this.send(nodes[n % nodes.length]!, maxWaitMs);
      await this.clock.advance(1000 / perSecond);
    }
  }
}

/** The clock of a fleet as an object that a test can vary. */
export function heldClockOf({ clock }: PacerFleet): Clock {
  return {
    now: () => clock.now(),
    latest: () => clock.latest(),
    wall: () => clock.wall(),
    sleep: (ms, signal) => clock.sleep(ms, signal),
  };
}

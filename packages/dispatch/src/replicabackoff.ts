/** Replicas that failed a moment ago, which other requests of this node avoid for a while. */

import type { Clock, Millis, Random, ReplicaId } from '@tanagercart/base';

/** Time for which a replica is avoided after its first failure, in milliseconds. */
const initialBackoffMs: Millis = 2000;

/** Longest time for which a replica is avoided, in milliseconds. */
const maxBackoffMs: Millis = 16_000;

interface Failing {
  readonly failures: number;
  readonly until: Millis;
}

/** Remembers failing replicas; each is tried again after a time that doubles with each failure. */
export class ReplicaBackoff {
  private readonly failing = new Map<ReplicaId, Failing>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  static create(clock: Clock, random: Random): ReplicaBackoff {
    return new ReplicaBackoff(clock, random);
  }

  /** Notes a failure of a replica. */
  recordFailure(replica: ReplicaId): void {
    const previous = this.failing.get(replica);
    // All streams of a replica fail at once: that is one failure.
    if (previous && previous.until > this.clock.now()) return;
    const failures = (previous?.failures ?? 0) + 1;
    const jitter = 0.5 + this.random.next();
    const ms = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failures - 1)) * jitter;
    this.failing.set(replica, { failures, until: this.clock.now() + ms });
  }

  /** Notes that a replica sent a token. */
  recordSuccess(replica: ReplicaId): void {
    this.failing.delete(replica);
  }

  /** Replicas to avoid now. */
  list(): readonly ReplicaId[] {
    const now = this.clock.now();
    const out: ReplicaId[] = [];
    for (const [replica, { until }] of this.failing) {
      if (until > now) out.push(replica);
      else if (until + maxBackoffMs * 2 < now) this.failing.delete(replica);
    }
    return out;
  }
}

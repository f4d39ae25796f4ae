/**
 * Outlier detection for replicas. Keeps the requests of this node away from a replica that failed
 * a moment ago, so that they don't each spend an attempt on it before the owner removes it.
 */

import type { Clock, Millis, Random, ReplicaId } from '@tanagercart/base';

/** Backoff of a replica after its first failure, in milliseconds, before jitter. */
const initialBackoffMs: Millis = 2000;

/** Longest backoff of a replica, in milliseconds, before jitter. */
const maxBackoffMs: Millis = 16_000;

interface Failing {
  /** Failures in a row. */
  readonly failures: number;
  readonly until: Millis;
}

/** Backs off from failing replicas for a time that doubles with each failure in a row. */
export class ReplicaBackoff {
  private readonly failing = new Map<ReplicaId, Failing>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  static create(clock: Clock, random: Random): ReplicaBackoff {
    return new ReplicaBackoff(clock, random);
  }

  /** Records a failure of a replica. Failures during its backoff don't prolong it. */
  recordFailure(replica: ReplicaId): void {
    const previous = this.failing.get(replica);
    // A crash ends all streams of a replica at once; they count as one failure.
    if (previous && previous.until > this.clock.now()) return;
    const failures = (previous?.failures ?? 0) + 1;
    const jitter = 0.5 + this.random.next();
    const ms = Math.min(maxBackoffMs, initialBackoffMs * 2 ** (failures - 1)) * jitter;
    this.failing.set(replica, { failures, until: this.clock.now() + ms });
  }

  /** Records that a replica sent a token, which ends its backoff. */
  recordSuccess(replica: ReplicaId): void {
    this.failing.delete(replica);
  }

  /** Replicas in backoff. */
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

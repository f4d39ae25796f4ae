/**
 * The configuration lease of a node. A node takes new work only while its lease is valid, so that
 * one lease length after a change of the state no node takes new work under the state before it.
 */

import { Bell } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';

/** Timing of configuration leases and of the detection of silent nodes, in milliseconds. */
export interface LeaseTiming {
  /** Length of a lease that the leader grants. */
  readonly leaseMs: Millis;
  /** Longest time for which a parent holds a follow call while there is nothing new. */
  readonly holdMs: Millis;
  /** Silence after which a node counts as down. */
  readonly silenceMs: Millis;
}

export const defaultLeaseTiming: LeaseTiming = { leaseMs: 2000, holdMs: 400, silenceMs: 1500 };

/** Largest difference in speed between the clocks of two nodes, as a fraction. */
const maxClockDrift = 0.01;

/** The longest time for which `ms`, as measured on one node, can last on another. */
export function withDrift(ms: Millis): Millis {
  return ms * (1 + maxClockDrift);
}

/** Time after which a lease granted now has expired on every node. */
export function longestLeaseMs(timing: LeaseTiming): Millis {
  return withDrift(timing.leaseMs);
}

/** A lease that expires unless it is renewed. */
export class ConfigurationLease {
  /** Rings whenever the lease is extended. */
  readonly renewed = Bell.create();
  /** By `Clock.latest`, as is what `renew` is given. */
  private until: Millis = -Infinity;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ConfigurationLease {
    return new ConfigurationLease(clock);
  }

  /** Extends the lease to `until`, but never shortens it; returns whether it was extended. */
  renew(until: Millis): boolean {
    if (until <= this.until) return false;
    this.until = until;
    this.renewed.ring();
    return true;
  }

  /** Milliseconds left; 0 once the lease has expired. */
  get leftMs(): Millis {
    return Math.max(0, this.until - this.clock.latest());
  }

  get valid(): boolean {
    return this.leftMs > 0;
  }
}

/** The configuration lease: how long this node may take new work under the state that it holds. */

import { Bell } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';

/** Timing of configuration leases and of the detection of silent nodes, in milliseconds. */
export interface LeaseTiming {
  /** Length of a lease that the leader gives. */
  readonly leaseMs: Millis;
  /** How long a parent holds a call when there is nothing to tell. */
  readonly holdMs: Millis;
  /** Silence after which a node counts as down. */
  readonly silenceMs: Millis;
}

export const defaultLeaseTiming: LeaseTiming = { leaseMs: 2000, holdMs: 400, silenceMs: 1500 };

/** By how much the clocks of two nodes may differ in speed, as a share. */
const clockDrift = 0.01;

/** The longest that `ms` measured on one node may last on another. */
export function withDrift(ms: Millis): Millis {
  return ms * (1 + clockDrift);
}

/** Time after which a lease given now has run out on whatever node holds it. */
export function longestLeaseMs(timing: LeaseTiming): Millis {
  return withDrift(timing.leaseMs);
}

/** A lease that lapses unless it is renewed. */
export class ConfigurationLease {
  /** Rings whenever the lease gets longer. */
  readonly renewed = Bell.create();
  private until: Millis = -Infinity;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ConfigurationLease {
    return new ConfigurationLease(clock);
  }

  /** Extends the lease; it never gets shorter. Whether it got longer. */
  renew(until: Millis): boolean {
    if (until <= this.until) return false;
    this.until = until;
    this.renewed.ring();
    return true;
  }

  /** Milliseconds left; 0 when the lease has lapsed. */
  get leftMs(): Millis {
    return Math.max(0, this.until - this.clock.now());
  }

  get valid(): boolean {
    return this.leftMs > 0;
  }
}

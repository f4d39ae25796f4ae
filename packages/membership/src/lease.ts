/** The configuration lease: how long this node may take new work under the state that it holds. */

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

/** A lease that lapses unless it is renewed. */
export class ConfigurationLease {
  private until: Millis = -Infinity;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ConfigurationLease {
    return new ConfigurationLease(clock);
  }

  /** Extends the lease; it never gets shorter. */
  renew(until: Millis): void {
    this.until = Math.max(this.until, until);
  }

  /** Milliseconds left; 0 when the lease has lapsed. */
  get leftMs(): Millis {
    return Math.max(0, this.until - this.clock.now());
  }

  get valid(): boolean {
    return this.leftMs > 0;
  }
}

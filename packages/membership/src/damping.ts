/** Keeps upstreams that go up and down again and again out for a while. */

import type { Clock, Millis, UpstreamId } from '@tanagercart/base';

/** Time in which a penalty halves, in milliseconds. */
const halfLifeMs: Millis = 60_000;

/** Penalty from which an upstream is kept out, and below which it is let in again. */
const keepOut = 2.5;
const letIn = 1;

/** Penalty below which an upstream is forgotten. */
const forgotten = 0.05;

interface Penalty {
  readonly value: number;
  readonly at: Millis;
  readonly out: boolean;
}

/** Penalties for each time that an upstream fell silent. */
export class Damping {
  private readonly penalties = new Map<UpstreamId, Penalty>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Damping {
    return new Damping(clock);
  }

  /** Notes that an upstream fell silent. */
  fell(id: UpstreamId): void {
    const value = this.valueOf(id) + 1;
    const out = value >= keepOut || this.penalties.get(id)?.out === true;
    this.penalties.set(id, { value, at: this.clock.now(), out });
  }

  /** Whether an upstream is kept out for now. */
  keepsOut(id: UpstreamId): boolean {
    const value = this.valueOf(id);
    if (value < forgotten) this.penalties.delete(id);
    return this.penalties.get(id)?.out === true && value >= letIn;
  }

  private valueOf(id: UpstreamId): number {
    const known = this.penalties.get(id);
    if (!known) return 0;
    return known.value * 0.5 ** ((this.clock.now() - known.at) / halfLifeMs);
  }
}

/** Slow start: new nodes and upstreams are given work little by little. */

import type { Clock, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type { History } from './history.js';

/** Time from the first share of work to the whole, in milliseconds. */
const rampMs: Millis = 8000;

/** Share of work at the start. */
const firstShare = 0.1;

interface Start {
  readonly incarnation: string;
  readonly at: Millis;
}

/** Follows the shared state and tells which share of its usual work each newcomer may have. */
export class Ramp {
  private readonly starts = new Map<string, Start>();
  private seen = '';
  private readonly began: Millis;

  private constructor(
    private readonly history: History,
    private readonly clock: Clock,
  ) {
    this.began = clock.now();
  }

  static create(history: History, clock: Clock): Ramp {
    const ramp = new Ramp(history, clock);
    history.onChange((jumped) => ramp.observe(jumped));
    return ramp;
  }

  /** The share of work for an upstream, above 0 and at most 1. */
  upstream(id: UpstreamId): number {
    return this.share(`u/${id}`);
  }

  /** The share of work for a node, above 0 and at most 1. */
  node(id: NodeId): number {
    return this.share(`n/${id}`);
  }

  private share(key: string): number {
    const start = this.starts.get(key);
    if (!start || this.mostAreNew(key.slice(0, 2))) return 1;
    const age = (this.clock.now() - start.at) / rampMs;
    return Math.min(1, firstShare + (1 - firstShare) * age);
  }

  /** Where most are new there is nowhere else for the work to go. */
  private mostAreNew(kind: string): boolean {
    const since = this.clock.now() - rampMs;
    const all = [...this.starts].filter(([key]) => key.startsWith(kind));
    return all.filter(([, s]) => s.at > since).length * 2 > all.length;
  }

  private observe(jumped: boolean): void {
    const { state } = this.history;
    const seen = `${state.view}/${state.rosterVersion}`;
    if (seen === this.seen && !jumped) return;
    this.seen = seen;
    const now = new Map<string, string>();
    for (const u of state.upstreams.values()) now.set(`u/${u.id}`, u.incarnation);
    for (const n of state.nodes.values()) now.set(`n/${n.address.id}`, n.incarnation);
    // What stood before a snapshot is not new because this node sees it for the first time.
    const at = jumped ? this.began - rampMs : this.clock.now();
    for (const [key, incarnation] of now) {
      if (this.starts.get(key)?.incarnation !== incarnation) {
        this.starts.set(key, { incarnation, at });
      }
    }
    for (const key of this.starts.keys()) if (!now.has(key)) this.starts.delete(key);
  }
}

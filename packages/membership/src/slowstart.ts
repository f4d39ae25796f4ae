/** Slow start: the share of work of a new node or upstream grows linearly from a small value. */

import type { Clock, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type { History } from './history.js';

/** Time from the first share of work to the whole, in milliseconds. */
const slowStartMs: Millis = 8000;

/** Share of work at the start. */
const initialShare = 0.1;

interface Start {
  readonly incarnation: string;
  readonly at: Millis;
}

/** Observes the shared state and computes which share of its usual work each newcomer may have. */
export class SlowStart {
  private readonly starts = new Map<string, Start>();
  private lastVersion = '';
  private readonly createdAt: Millis;

  private constructor(
    private readonly history: History,
    private readonly clock: Clock,
  ) {
    this.createdAt = clock.now();
  }

  static create(history: History, clock: Clock): SlowStart {
    const slowStart = new SlowStart(history, clock);
    history.onChange((restored) => slowStart.observe(restored));
    return slowStart;
  }

  /** The share of work for an upstream, above 0 and at most 1. */
  upstreamShare(id: UpstreamId): number {
    return this.share(`u/${id}`);
  }

  /** The share of work for a node, above 0 and at most 1. */
  nodeShare(id: NodeId): number {
    return this.share(`n/${id}`);
  }

  private share(key: string): number {
    const start = this.starts.get(key);
    if (!start || this.mostAreNew(key.slice(0, 2))) return 1;
    const progress = (this.clock.now() - start.at) / slowStartMs;
    return Math.min(1, initialShare + (1 - initialShare) * progress);
  }

  /** Whether most upstreams, or most nodes, are new. No others could then take over their work. */
  private mostAreNew(prefix: string): boolean {
    const since = this.clock.now() - slowStartMs;
    const all = [...this.starts].filter(([key]) => key.startsWith(prefix));
    return all.filter(([, s]) => s.at > since).length * 2 > all.length;
  }

  private observe(restored: boolean): void {
    const { state } = this.history;
    const version = `${state.view}/${state.rosterVersion}`;
    if (version === this.lastVersion && !restored) return;
    this.lastVersion = version;
    const incarnations = new Map<string, string>();
    for (const u of state.upstreams.values()) incarnations.set(`u/${u.id}`, u.incarnation);
    for (const n of state.nodes.values()) incarnations.set(`n/${n.address.id}`, n.incarnation);
    // What a snapshot contains is new to this node only, and starts with its whole share.
    const at = restored ? this.createdAt - slowStartMs : this.clock.now();
    for (const [key, incarnation] of incarnations) {
      if (this.starts.get(key)?.incarnation !== incarnation) {
        this.starts.set(key, { incarnation, at });
      }
    }
    for (const key of this.starts.keys()) if (!incarnations.has(key)) this.starts.delete(key);
  }
}

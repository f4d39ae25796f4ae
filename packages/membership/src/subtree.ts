/** What a node knows of the nodes that follow through it: who is there, and who may lack what. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { FollowCall, FollowerReport } from '@tanagercart/protocol';
import type { LeaseTiming } from './lease.js';
import { withDrift } from './lease.js';

/** Nodes behind the others that are named to the parent at most. */
const namedBehind = 8;

/** A node that was heard of. */
export interface Sighting {
  readonly report: FollowerReport;
  readonly heardAt: Millis;
}

/** One process that follows this node directly. */
interface Child {
  readonly id: NodeId;
  seq: number;
  heardAt: Millis;
  floor: number;
  behind: readonly NodeId[];
  /** When the last lease that was given to it has run out everywhere below. */
  leasedUntil: Millis;
  self: FollowerReport;
  readonly below: Map<NodeId, FollowerReport>;
}

/** The processes below one node. */
export class Subtree {
  private readonly children = new Map<string, Child>();

  private constructor(
    private readonly clock: Clock,
    private readonly timing: LeaseTiming,
  ) {}

  static create(clock: Clock, timing: LeaseTiming): Subtree {
    return new Subtree(clock, timing);
  }

  /** Takes the report in a call; whether the next one must be full. */
  heard(call: FollowCall): boolean {
    this.forget();
    const known = this.children.get(keyOf(call));
    const child = known ?? newChild(call);
    const complete = call.full || child.seq + 1 === call.seq;
    child.seq = call.seq;
    child.heardAt = this.clock.now();
    // What a process once had in force on all below it stays so: later leases need as much.
    child.floor = Math.max(child.floor, call.floor);
    child.behind = call.behind;
    child.self = { node: call.node, incarnation: call.incarnation, draining: call.draining };
    if (call.full) child.below.clear();
    for (const report of call.below) child.below.set(report.node.id, report);
    for (const node of call.gone) child.below.delete(node);
    this.children.set(keyOf(call), child);
    return !complete;
  }

  /** Notes that the caller was given a lease of `leaseMs` from now on. */
  leased(call: FollowCall, leaseMs: Millis): void {
    const child = this.children.get(keyOf(call));
    if (!child) return;
    child.leasedUntil = Math.max(child.leasedUntil, this.clock.now() + withDrift(leaseMs));
  }

  /** Least index applied by every process that may hold a lease from here, `own` included. */
  floor(own: number): number {
    const now = this.clock.now();
    let floor = own;
    for (const c of this.children.values()) {
      if (c.leasedUntil > now) floor = Math.min(floor, c.floor);
    }
    return floor;
  }

  /** Some nodes that may lack the command at `index` and still hold a lease. */
  behind(index: number): readonly NodeId[] {
    const now = this.clock.now();
    const named = new Set<NodeId>();
    for (const c of this.children.values()) {
      if (c.leasedUntil <= now || c.floor >= index) continue;
      for (const node of c.behind.length > 0 ? c.behind : [c.id]) named.add(node);
    }
    return [...named].slice(0, namedBehind);
  }

  /** Every node below that is not silent. */
  sightings(): ReadonlyMap<NodeId, Sighting> {
    const seen = new Map<NodeId, Sighting>();
    for (const { heardAt, self, below } of this.children.values()) {
      if (heardAt + this.timing.silenceMs <= this.clock.now()) continue;
      for (const report of [self, ...below.values()]) see(seen, { report, heardAt });
    }
    return seen;
  }

  private forget(): void {
    const now = this.clock.now();
    for (const [key, c] of this.children) {
      const silent = c.heardAt + this.timing.silenceMs <= now;
      if (silent && c.leasedUntil <= now) this.children.delete(key);
    }
  }
}

function see(seen: Map<NodeId, Sighting>, sighting: Sighting): void {
  const { id } = sighting.report.node;
  const known = seen.get(id);
  if (!known || known.heardAt < sighting.heardAt) seen.set(id, sighting);
}

function keyOf(call: FollowCall): string {
  return `${call.node.id}/${call.incarnation}`;
}

function newChild(call: FollowCall): Child {
  const self = { node: call.node, incarnation: call.incarnation, draining: call.draining };
  return {
    id: call.node.id,
    seq: -1,
    heardAt: 0,
    floor: call.floor,
    behind: [],
    leasedUntil: -Infinity,
    self,
    below: new Map(),
  };
}

/**
 * The nodes that follow the leader through one node: which of them are up, and which may lack
 * committed state while they hold a lease.
 */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { FollowCall, FollowerReport } from '@tanagercart/protocol';
import type { LeaseTiming } from './lease.js';
import { withDrift } from './lease.js';

/** Most nodes that lag behind to name to the parent, to keep calls short. */
const maxNodesBehind = 8;

/** The last report on a node, and when it was received. */
export interface ReceivedReport {
  readonly report: FollowerReport;
  readonly receivedAt: Millis;
}

/** One process that follows this node directly. */
interface Child {
  readonly id: NodeId;
  /** Sequence number of its last call. */
  seq: number;
  receivedAt: Millis;
  /** Least index applied by it and by the nodes that may hold a lease granted through it. */
  floor: number;
  behind: readonly NodeId[];
  /** Time by which every lease granted through it has expired on all nodes below. */
  leasedUntil: Millis;
  report: FollowerReport;
  readonly below: Map<NodeId, FollowerReport>;
}

/** The processes below one node in the fan-out tree. */
export class Subtree {
  /** By node and incarnation: a restarted node is another child. */
  private readonly children = new Map<string, Child>();

  private constructor(
    private readonly clock: Clock,
    private readonly timing: LeaseTiming,
  ) {}

  static create(clock: Clock, timing: LeaseTiming): Subtree {
    return new Subtree(clock, timing);
  }

  /** Records the report in a call; returns whether the next report must be full. */
  recordCall(call: FollowCall): boolean {
    this.deleteExpired();
    const known = this.children.get(keyOf(call));
    const child = known ?? createChild(call);
    const complete = call.full || child.seq + 1 === call.seq;
    child.seq = call.seq;
    child.receivedAt = this.clock.now();
    // The floor never falls: a node below gets a lease only once it has applied as much.
    child.floor = Math.max(child.floor, call.floor);
    child.behind = call.behind;
    child.report = { node: call.node, incarnation: call.incarnation, draining: call.draining };
    if (call.full) child.below.clear();
    for (const report of call.below) child.below.set(report.node.id, report);
    for (const node of call.gone) child.below.delete(node);
    this.children.set(keyOf(call), child);
    return !complete;
  }

  /** Records that the caller was granted a lease of `leaseMs` from now on. */
  recordLease(call: FollowCall, leaseMs: Millis): void {
    const child = this.children.get(keyOf(call));
    if (!child) return;
    child.leasedUntil = Math.max(child.leasedUntil, this.clock.now() + withDrift(leaseMs));
  }

  /**
   * Least index applied by all processes that may hold a lease from this node. `own` is the index
   * that this node has applied itself.
   */
  floor(own: number): number {
    const now = this.clock.now();
    let floor = own;
    for (const c of this.children.values()) {
      if (c.leasedUntil > now) floor = Math.min(floor, c.floor);
    }
    return floor;
  }

  /** Some of the nodes that may hold a lease but lack the command at `index`. */
  nodesBehind(index: number): readonly NodeId[] {
    const now = this.clock.now();
    const nodes = new Set<NodeId>();
    for (const c of this.children.values()) {
      if (c.leasedUntil <= now || c.floor >= index) continue;
      for (const node of c.behind.length > 0 ? c.behind : [c.id]) nodes.add(node);
    }
    return [...nodes].slice(0, maxNodesBehind);
  }

  /** The latest report on each node below whose path to this node is not silent. */
  liveReports(): ReadonlyMap<NodeId, ReceivedReport> {
    const reports = new Map<NodeId, ReceivedReport>();
    for (const { receivedAt, report: own, below } of this.children.values()) {
      if (receivedAt + this.timing.silenceMs <= this.clock.now()) continue;
      for (const report of [own, ...below.values()]) keepLatest(reports, { report, receivedAt });
    }
    return reports;
  }

  /** Deletes children that are silent and through which no lease can be valid any more. */
  private deleteExpired(): void {
    const now = this.clock.now();
    for (const [key, c] of this.children) {
      const silent = c.receivedAt + this.timing.silenceMs <= now;
      if (silent && c.leasedUntil <= now) this.children.delete(key);
    }
  }
}

function keepLatest(reports: Map<NodeId, ReceivedReport>, received: ReceivedReport): void {
  const { id } = received.report.node;
  const known = reports.get(id);
  if (!known || known.receivedAt < received.receivedAt) reports.set(id, received);
}

function keyOf(call: FollowCall): string {
  return `${call.node.id}/${call.incarnation}`;
}

function createChild(call: FollowCall): Child {
  const report = { node: call.node, incarnation: call.incarnation, draining: call.draining };
  return {
    id: call.node.id,
    seq: -1,
    receivedAt: 0,
    floor: call.floor,
    behind: [],
    leasedUntil: -Infinity,
    report,
    below: new Map(),
  };
}

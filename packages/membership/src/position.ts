/** Where a node stands in the fan-out tree. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';

/** What the replicated log knows of leadership on this node. */
export interface Leadership {
  /** Whether this node leads and no other can. */
  isLeader(): boolean;
  /** The leader as far as this node's vote knows; undefined on nodes without a vote. */
  leader(): NodeId | undefined;
}

/** The place of one node: the leader itself, or a node below it. */
export class TreePosition {
  private above: readonly NodeId[] = [];
  private since: Millis | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly leadership: Leadership,
  ) {}

  static create(clock: Clock, leadership: Leadership): TreePosition {
    return new TreePosition(clock, leadership);
  }

  get isLeader(): boolean {
    const leads = this.leadership.isLeader();
    if (!leads) this.since = undefined;
    else this.since ??= this.clock.now();
    return leads;
  }

  /** Since when this node is known to lead without a break. */
  get leadingSince(): Millis | undefined {
    return this.isLeader ? this.since : undefined;
  }

  /** The leader as far as it is known. */
  get leader(): NodeId | undefined {
    return this.leadership.leader() ?? this.above[0];
  }

  /** The nodes from the leader down to the parent; empty on the leader. */
  get path(): readonly NodeId[] {
    return this.isLeader ? [] : this.above;
  }

  /** Notes the path that a parent told. */
  moved(path: readonly NodeId[]): void {
    this.above = path;
  }
}

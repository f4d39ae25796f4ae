/** The position of a node in the fan-out tree. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';

/** What the replicated log of this node reports about the leader. */
export interface Leadership {
  /** Whether this node leads and no other node can. */
  isLeader(): boolean;
  /** The leader as far as the voter on this node knows; undefined on nodes without a vote. */
  leader(): NodeId | undefined;
}

/** The position of one node: it is the leader, or it follows a parent below the leader. */
export class TreePosition {
  private pathFromParent: readonly NodeId[] = [];
  private since: Millis | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly leadership: Leadership,
  ) {}

  static create(clock: Clock, leadership: Leadership): TreePosition {
    return new TreePosition(clock, leadership);
  }

  /** Whether this node leads; also records since when it does. */
  get isLeader(): boolean {
    const isLeader = this.leadership.isLeader();
    if (!isLeader) this.since = undefined;
    else this.since ??= this.clock.now();
    return isLeader;
  }

  /** Time since which this node has been seen to lead without interruption. */
  get leadingSince(): Millis | undefined {
    return this.isLeader ? this.since : undefined;
  }

  /** The leader as far as it is known to this node. */
  get leader(): NodeId | undefined {
    return this.leadership.leader() ?? this.pathFromParent[0];
  }

  /** The nodes from the leader down to the parent; empty on the leader. */
  get path(): readonly NodeId[] {
    return this.isLeader ? [] : this.pathFromParent;
  }

  /** Records the path in a parent's reply, from the leader down to that parent. */
  updatePath(path: readonly NodeId[]): void {
    this.pathFromParent = path;
  }
}

/** One node's part in spreading committed state: its lease, its place in the tree, its tasks. */

import type { Clock, Logger, NodeId, TaskGroup } from '@tanagercart/base';
import type { NodeAddress, Transport } from '@tanagercart/protocol';
import type { Proposer } from '@tanagercart/state';
import { CommitTimes } from './committimes.js';
import { Feed } from './feed.js';
import { follow } from './follow.js';
import type { FollowOptions } from './follow.js';
import type { History } from './history.js';
import { ConfigurationLease } from './lease.js';
import type { LeaseTiming } from './lease.js';
import { NodeLoads } from './loads.js';
import { TreePosition } from './position.js';
import type { Leadership } from './position.js';
import { keepNodes } from './registrar.js';
import { KnownVoters } from './voters.js';

/** What the control part of a node needs. */
export interface ControlOptions {
  readonly self: () => NodeAddress;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  readonly transport: Transport;
  readonly history: History;
  readonly proposer: Proposer;
  readonly leadership: Leadership;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly logger: Logger;
  readonly draining: () => boolean;
  readonly seeds: FollowOptions['seeds'];
  /** The voters as the log of this node knows them; undefined on nodes without a vote. */
  readonly ownVoters?: () => readonly NodeId[] | undefined;
  /** Requests that this node has in progress. */
  readonly load?: () => number;
}

/** Wires lease, feed, follower and registrar of one node. */
export class Control {
  readonly lease: ConfigurationLease;
  readonly position: TreePosition;
  /** When the commands that this node applied as a voter were committed. */
  readonly commitTimes: CommitTimes;
  /** Loads of all nodes as they were told. */
  readonly loads: NodeLoads;
  /** Nodes that may lead. */
  readonly voters: KnownVoters;
  private readonly feed: Feed;

  private constructor(private readonly o: ControlOptions) {
    const { clock, history, leadership, timing, transport } = o;
    this.lease = ConfigurationLease.create(clock);
    this.position = TreePosition.create(clock, leadership);
    this.commitTimes = CommitTimes.create(clock.now());
    const self = o.self().id;
    this.loads = NodeLoads.create({ self, history, clock, own: o.load ?? (() => 0) });
    this.voters = KnownVoters.create(o.seeds, o.ownVoters ?? (() => undefined));
    const { lease, loads, position, voters } = this;
    this.feed = Feed.create({
      self,
      transport,
      history,
      lease,
      position,
      loads,
      voters,
      clock,
      timing,
    });
  }

  static create(options: ControlOptions): Control {
    return new Control(options);
  }

  /** Begins to follow, and to keep the nodes while this node leads. */
  start(tasks: TaskGroup, signal: AbortSignal): void {
    const { lease, loads, position, voters } = this;
    const { subtree } = this.feed;
    const self = () => ({
      node: this.o.self(),
      incarnation: this.o.incarnation,
      draining: this.o.draining(),
    });
    this.serveProgress();
    tasks.start(() =>
      follow(
        { ...this.o, lease, loads, position, subtree, voters, seeds: () => voters.all },
        signal,
      ),
    );
    tasks.start(() => keepNodes({ ...this.o, self, feed: this.feed, position }, signal));
  }

  private serveProgress(): void {
    this.o.transport.serve('progress', async (_, { index }) => {
      if (!this.position.isLeader) return { kind: 'not-leader', leader: this.position.leader };
      return this.feed.progress(index, this.commitTimes.at(index));
    });
  }
}

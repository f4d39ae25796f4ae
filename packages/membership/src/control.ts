/**
 * The membership tasks of one node: it holds a configuration lease, follows a parent in the fan-out
 * tree, serves its own followers and, while it leads, records which nodes are up.
 */

import type { Clock, Logger, NodeId, TaskGroup } from '@tanagercart/base';
import type { NodeAddress, Transport } from '@tanagercart/protocol';
import type { Proposer } from '@tanagercart/state';
import { CommitTimes } from './committimes.js';
import { follow } from './follow.js';
import type { FollowOptions } from './follow.js';
import { FollowServer } from './followserver.js';
import type { History } from './history.js';
import { ConfigurationLease } from './lease.js';
import type { LeaseTiming } from './lease.js';
import { NodeLoads } from './loads.js';
import { TreePosition } from './position.js';
import type { Leadership } from './position.js';
import { reconcileNodes } from './registrar.js';
import { KnownVoters } from './voters.js';

/** Dependencies and settings of `Control`. */
export interface ControlOptions {
  readonly self: () => NodeAddress;
  /** Identifies this process; a restart of the node gets another one. */
  readonly incarnation: string;
  readonly transport: Transport;
  readonly history: History;
  readonly proposer: Proposer;
  readonly leadership: Leadership;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly logger: Logger;
  /** Whether this node is shutting down and refuses new work. */
  readonly draining: () => boolean;
  /** The voters in the settings: the nodes to ask while no leader is known. */
  readonly seeds: FollowOptions['seeds'];
  /** The voters according to the log of this node; undefined on nodes without a vote. */
  readonly ownVoters?: () => readonly NodeId[] | undefined;
  /** Number of requests in progress on this node. */
  readonly load?: () => number;
}

/** Creates and connects the lease, the follower, the follow server and the registrar of a node. */
export class Control {
  readonly lease: ConfigurationLease;
  readonly position: TreePosition;
  /** Commit times of the commands that this node applied as a voter. */
  readonly commitTimes: CommitTimes;
  /** Last reported loads of all nodes. */
  readonly loads: NodeLoads;
  /** The nodes that may become leader. */
  readonly voters: KnownVoters;
  private readonly followServer: FollowServer;

  private constructor(private readonly o: ControlOptions) {
    const { clock, history, leadership, timing, transport } = o;
    this.lease = ConfigurationLease.create(clock);
    this.position = TreePosition.create(clock, leadership);
    this.commitTimes = CommitTimes.create(clock.now());
    const self = o.self().id;
    this.loads = NodeLoads.create({ self, history, clock, ownLoad: o.load ?? (() => 0) });
    this.voters = KnownVoters.create(o.seeds, o.ownVoters ?? (() => undefined));
    const { lease, loads, position, voters } = this;
    this.followServer = FollowServer.create({
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

  /** Starts the tasks that follow a parent and, while this node leads, reconcile the live nodes. */
  start(tasks: TaskGroup, signal: AbortSignal): void {
    const { lease, loads, position, voters } = this;
    const { subtree } = this.followServer;
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
    tasks.start(() =>
      reconcileNodes({ ...this.o, self, followServer: this.followServer, position }, signal),
    );
  }

  private serveProgress(): void {
    this.o.transport.serve('progress', async (_, { index }) => {
      if (!this.position.isLeader) return { kind: 'not-leader', leader: this.position.leader };
      return this.followServer.progressOf(index, this.commitTimes.upperBound(index));
    });
  }
}

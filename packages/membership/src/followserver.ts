/** The parent's side of the follow call: sends committed state to followers and grants leases. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { FollowCall, FollowReply, ProgressReply, Transport } from '@tanagercart/protocol';
import type { History } from './history.js';
import type { ConfigurationLease, LeaseTiming } from './lease.js';
import { longestLeaseMs } from './lease.js';
import type { NodeLoads } from './loads.js';
import type { TreePosition } from './position.js';
import { Subtree } from './subtree.js';
import type { KnownVoters } from './voters.js';

/**
 * Longest time for which a call is held when some nodes below the caller lack committed state, in
 * milliseconds. Shorter than the normal hold, so that their progress is soon reported.
 */
const catchUpHoldMs: Millis = 50;

/** Dependencies and settings of `FollowServer`. */
export interface FollowServerOptions {
  readonly self: NodeId;
  readonly transport: Transport;
  readonly history: History;
  readonly lease: ConfigurationLease;
  readonly position: TreePosition;
  readonly loads: NodeLoads;
  readonly voters: KnownVoters;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
}

/** Serves the nodes that follow this one, both on the leader and on relays below it. */
export class FollowServer {
  readonly subtree: Subtree;

  private constructor(private readonly o: FollowServerOptions) {
    this.subtree = Subtree.create(o.clock, o.timing);
  }

  static create(options: FollowServerOptions): FollowServer {
    const server = new FollowServer(options);
    options.transport.serve('follow', (_, call) => server.handleFollow(call));
    return server;
  }

  /**
   * On the leader: whether the command at `index`, committed by the time `committedAt`, is in force
   * on every node. Once this node has led for the length of a lease, every valid lease originates
   * from it, and the floor of the child through which a lease was granted covers all its holders.
   */
  progressOf(index: number, committedAt: Millis): ProgressReply {
    const { clock, history, position, timing } = this.o;
    const now = clock.now();
    const leftMs = committedAt + longestLeaseMs(timing) - now;
    if (leftMs <= 0) return { kind: 'in-force' };
    const since = position.leadingSince;
    const coversAll = since !== undefined && since + longestLeaseMs(timing) <= now;
    if (coversAll && this.subtree.floor(history.state.index) >= index) return { kind: 'in-force' };
    return { kind: 'pending', waitingFor: this.subtree.nodesBehind(index), atMostMs: leftMs };
  }

  private async handleFollow(call: FollowCall): Promise<FollowReply> {
    const receivedAt = this.o.clock.now();
    const wantsFull = this.subtree.recordCall(call);
    this.o.loads.recordFromChild(call.loads);
    if (this.isSuperseded(call) || this.grantableLeaseMs() <= 0) return this.redirect();
    await this.hold(call);
    const leaseMs = this.grantableLeaseMs();
    if (this.isSuperseded(call) || leaseMs <= 0) return this.redirect();
    const { clock, history, position, self } = this.o;
    this.subtree.recordLease(call, leaseMs);
    return {
      kind: 'state',
      ...history.since(call.applied),
      upTo: history.state.index,
      // The caller counts the lease from when it sent the call, which was not after its receipt.
      leaseMs: clock.now() - receivedAt + leaseMs,
      path: [...position.path, self],
      wantsFull,
      loads: this.o.loads.digestForChild(call.node.id),
      voters: this.o.voters.votersToSend(position.isLeader, call.votersMark),
    };
  }

  /**
   * Length of a lease that this node can grant now, in milliseconds: a full lease on the leader, at
   * most the rest of its own lease on a relay.
   */
  private grantableLeaseMs(): Millis {
    const { lease, position, timing } = this.o;
    if (position.isLeader) return timing.leaseMs;
    return Math.min(timing.leaseMs, lease.leftMs);
  }

  /** Whether a later process of the calling node is recorded. */
  private isSuperseded(call: FollowCall): boolean {
    return this.o.history.state.isSuperseded(call.node.id, call.incarnation);
  }

  private redirect(): FollowReply {
    return { kind: 'elsewhere', parent: this.o.position.leader };
  }

  /** Holds a call (long poll) until there is new state or a longer lease for the caller. */
  private async hold(call: FollowCall): Promise<void> {
    const { clock, history, lease, position, timing } = this.o;
    if (history.state.index > call.applied) return;
    // A caller with a short lease was cut off from its parent and is answered at once.
    if (this.grantableLeaseMs() > call.leaseLeftMs + timing.holdMs * 2) return;
    const holdMs = call.floor < history.state.index ? catchUpHoldMs : timing.holdMs;
    const bell = position.isLeader ? history.changed : lease.renewed;
    await bell.waitUpTo(holdMs, clock);
  }
}

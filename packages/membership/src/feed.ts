/** The parent's side of configuration: passes on committed state and gives leases. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { FollowCall, FollowReply, ProgressReply, Transport } from '@tanagercart/protocol';
import type { History } from './history.js';
import type { ConfigurationLease, LeaseTiming } from './lease.js';
import { longestLeaseMs } from './lease.js';
import type { NodeLoads } from './loads.js';
import type { TreePosition } from './position.js';
import { Subtree } from './subtree.js';
import type { KnownVoters } from './voters.js';

/** Longest hold of a call from a node below which some lack committed state, in milliseconds. */
const catchUpHoldMs: Millis = 50;

/** What a feed needs. */
export interface FeedOptions {
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

/** Serves the nodes that follow this one, as the leader or as a relay. */
export class Feed {
  readonly subtree: Subtree;

  private constructor(private readonly o: FeedOptions) {
    this.subtree = Subtree.create(o.clock, o.timing);
  }

  static create(options: FeedOptions): Feed {
    const feed = new Feed(options);
    options.transport.serve('follow', (_, call) => feed.onFollow(call));
    return feed;
  }

  /**
   * On the leader: whether the command at `index`, committed at `at`, is in force on every node.
   * Once this node has led for a lease, every lease that has not run out came from it, and every
   * holder of one is covered by the floor of the child through which the lease was given.
   */
  progress(index: number, committedAt: Millis): ProgressReply {
    const { clock, history, position, timing } = this.o;
    const now = clock.now();
    const left = committedAt + longestLeaseMs(timing) - now;
    if (left <= 0) return { kind: 'in-force' };
    const since = position.leadingSince;
    const knowsAll = since !== undefined && since + longestLeaseMs(timing) <= now;
    if (knowsAll && this.subtree.floor(history.state.index) >= index) return { kind: 'in-force' };
    return { kind: 'pending', waitingFor: this.subtree.behind(index), atMostMs: left };
  }

  private async onFollow(call: FollowCall): Promise<FollowReply> {
    const heardAt = this.o.clock.now();
    const wantsFull = this.subtree.heard(call);
    this.o.loads.heardBelow(call.loads);
    if (this.superseded(call) || this.leaseMs() <= 0) return this.elsewhere();
    await this.hold(call);
    const leaseMs = this.leaseMs();
    if (this.superseded(call) || leaseMs <= 0) return this.elsewhere();
    const { clock, history, position, self } = this.o;
    this.subtree.leased(call, leaseMs);
    return {
      kind: 'state',
      ...history.since(call.applied),
      upTo: history.state.index,
      // Counted from when the call was sent, which was not after it was heard.
      leaseMs: clock.now() - heardAt + leaseMs,
      path: [...position.path, self],
      wantsFull,
      loads: this.o.loads.downTo(call.node.id),
      voters: this.o.voters.present(position.isLeader, call.votersMark),
    };
  }

  /** Length of a lease that may be given now: the leader's own, or what is left of the relay's. */
  private leaseMs(): Millis {
    const { lease, position, timing } = this.o;
    if (position.isLeader) return timing.leaseMs;
    return Math.min(timing.leaseMs, lease.leftMs);
  }

  /** Whether a later start of the same node is known. */
  private superseded(call: FollowCall): boolean {
    return this.o.history.state.isSuperseded(call.node.id, call.incarnation);
  }

  private elsewhere(): FollowReply {
    return { kind: 'elsewhere', parent: this.o.position.leader };
  }

  /** Waits until there is something that the caller lacks: state, or a longer lease. */
  private async hold(call: FollowCall): Promise<void> {
    const { clock, history, lease, position, timing } = this.o;
    if (history.state.index > call.applied) return;
    // A caller that was cut off from its parent is not kept waiting.
    if (this.leaseMs() > call.leaseLeftMs + timing.holdMs * 2) return;
    const holdMs = call.floor < history.state.index ? catchUpHoldMs : timing.holdMs;
    const bell = position.isLeader ? history.changed : lease.renewed;
    await bell.waitUpTo(holdMs, clock);
  }
}

/** The parent's side of configuration: passes on committed state and gives leases. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { FollowCall, FollowReply, ProgressReply, Transport } from '@tanagercart/protocol';
import type { History } from './history.js';
import type { LeaseTiming } from './lease.js';

/** What a node may pass on: the leader its own lease, a relay what is left of the one it was given. */
export interface Source {
  /** Milliseconds for which a lease may be given now; 0 where none may. */
  leaseMs(): Millis;
  /** Index that a follower must have applied before it uses a lease given now. */
  upTo(): number;
  /** Who to follow where this node cannot give a lease. */
  parent(): NodeId | undefined;
}

/** What is known of one follower. */
export interface Follower {
  readonly call: FollowCall;
  readonly heardAt: Millis;
}

/** Serves the nodes that follow this one. */
export class Feed {
  private readonly heard = new Map<NodeId, Follower>();

  private constructor(
    private readonly history: History,
    private readonly source: Source,
    private readonly clock: Clock,
    private readonly timing: LeaseTiming,
  ) {}

  static create(
    transport: Transport,
    history: History,
    source: Source,
    clock: Clock,
    timing: LeaseTiming,
  ): Feed {
    const feed = new Feed(history, source, clock, timing);
    transport.serve('follow', (_, call) => feed.onFollow(call));
    return feed;
  }

  /** Every node heard of, with when. */
  get followers(): ReadonlyMap<NodeId, Follower> {
    return this.heard;
  }

  /** Whether the command at `index`, committed at `at`, is in force on every node. */
  progress(index: number, committedAt: Millis): ProgressReply {
    const left = committedAt + this.timing.leaseMs - this.clock.now();
    if (left <= 0) return { kind: 'in-force' };
    const behind = [...this.history.state.nodes.keys()].filter((n) => this.appliedBy(n) < index);
    if (behind.length === 0) return { kind: 'in-force' };
    return { kind: 'pending', waitingFor: behind, atMostMs: left };
  }

  private appliedBy(node: NodeId): number {
    return this.heard.get(node)?.call.applied ?? 0;
  }

  private async onFollow(call: FollowCall): Promise<FollowReply> {
    if (this.source.leaseMs() <= 0) return { kind: 'elsewhere', parent: this.source.parent() };
    this.heard.set(call.node.id, { call, heardAt: this.clock.now() });
    await this.hold(call.applied);
    const leaseMs = this.source.leaseMs();
    if (leaseMs <= 0) return { kind: 'elsewhere', parent: this.source.parent() };
    const update = this.history.since(call.applied);
    return { kind: 'state', ...update, upTo: this.source.upTo(), leaseMs };
  }

  /** Waits until there is something that the follower lacks, for the hold time at most. */
  private async hold(applied: number): Promise<void> {
    if (this.history.state.index > applied) return;
    await this.history.changed.waitUpTo(this.timing.holdMs, this.clock);
  }
}

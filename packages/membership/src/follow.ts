/** The follower's side of configuration: a task that keeps the state and the lease up to date. */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { FollowCall, FollowReply, NodeAddress, Transport } from '@tanagercart/protocol';
import type { History } from './history.js';
import type { ConfigurationLease, LeaseTiming } from './lease.js';
import type { NodeLoads } from './loads.js';
import type { TreePosition } from './position.js';
import { Reporter } from './report.js';
import type { KnownVoters } from './voters.js';
import type { Subtree } from './subtree.js';
import { ancestors } from './tree.js';

/** Pause before another parent is tried, in milliseconds. */
const searchPauseMs = 50;

/** Pause between two renewals of the leader's own lease, in milliseconds. */
const ownRenewalMs = 100;

/** How long a parent that did not answer is passed over, in milliseconds. */
const avoidMs = 3000;

/** Time for a reply beyond the parent's hold, in milliseconds. */
const replyMarginMs = 300;

/** Share of a lease below which a parent that does not renew it is passed over. */
const leastLeaseShare = 0.7;

/** What a follower needs. */
export interface FollowOptions {
  readonly self: () => NodeAddress;
  readonly incarnation: string;
  readonly transport: Transport;
  readonly history: History;
  readonly lease: ConfigurationLease;
  readonly position: TreePosition;
  readonly subtree: Subtree;
  readonly loads: NodeLoads;
  readonly voters: KnownVoters;
  readonly clock: Clock;
  readonly timing: LeaseTiming;
  readonly logger: Logger;
  readonly draining: () => boolean;
  /** Nodes that may know whom to follow. */
  readonly seeds: () => readonly NodeId[];
}

/** Follows a parent, or renews the own lease while leading, until `signal` aborts. */
export async function follow(o: FollowOptions, signal: AbortSignal): Promise<void> {
  await Follower.create(o).run(signal);
}

/** The task of one node that follows others. */
class Follower {
  private parent: NodeId | undefined;
  private turn = 0;
  /** The leader at the last choice. */
  private leader: NodeId | undefined;
  /** A node that another named as the one to follow. */
  private hint: NodeId | undefined;
  private readonly avoided = new Map<NodeId, Millis>();
  private readonly reporter: Reporter;

  private constructor(private readonly o: FollowOptions) {
    this.reporter = Reporter.create(o.subtree);
  }

  static create(options: FollowOptions): Follower {
    return new Follower(options);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, position } = this.o;
    while (!signal.aborted) {
      if (position.isLeader) {
        this.renewOwn();
        await clock.sleep(ownRenewalMs, signal);
        continue;
      }
      const taken = await this.followOnce(signal);
      if (!taken) await clock.sleep(searchPauseMs, signal);
    }
  }

  /** The leader gives itself the lease that it gives others. */
  private renewOwn(): void {
    const { clock, lease, timing } = this.o;
    lease.renew(clock.now() + timing.leaseMs);
    this.parent = undefined;
  }

  /** One exchange with a parent; whether it brought state and a lease. */
  private async followOnce(signal: AbortSignal): Promise<boolean> {
    const target = this.choose();
    if (!target) return false;
    if (target !== this.parent) this.reporter.startOver();
    this.parent = target;
    const { clock, timing, transport } = this.o;
    const sentAt = clock.now();
    const timeoutMs = timing.holdMs + replyMarginMs;
    const reply = await transport.call(target, 'follow', this.call(), { timeoutMs, signal });
    if (signal.aborted) return false;
    if (reply.isErr()) return this.leave(target, undefined);
    if (reply.value.kind === 'elsewhere') return this.leave(target, reply.value.parent);
    return this.take(target, reply.value, sentAt);
  }

  private call(): FollowCall {
    const { history, incarnation, self, subtree } = this.o;
    const applied = history.state.index;
    const floor = subtree.floor(applied);
    return {
      node: self(),
      incarnation,
      applied,
      floor,
      behind: floor < applied ? subtree.behind(floor + 1) : [],
      draining: this.o.draining(),
      leaseLeftMs: this.o.lease.leftMs,
      votersMark: this.o.voters.heardMark,
      loads: this.o.loads.up(),
      ...this.reporter.next(),
    };
  }

  private take(parent: NodeId, reply: FollowReply & { kind: 'state' }, sentAt: Millis): boolean {
    const { history, lease, position, self, timing } = this.o;
    // A parent below this node has nothing to give but what it got from here.
    if (reply.path.includes(self().id)) return this.leave(parent, undefined);
    if (reply.snapshot) history.restore(reply.snapshot);
    for (const { index, bytes } of reply.commands) history.apply(index, bytes);
    this.o.loads.heardAbove(reply.loads);
    this.o.voters.told(reply.voters);
    if (reply.wantsFull) this.reporter.startOver();
    position.moved(reply.path);
    if (history.state.index < reply.upTo) return true;
    const longer = lease.renew(sentAt + reply.leaseMs);
    if (!longer && lease.leftMs < timing.leaseMs * leastLeaseShare) {
      return this.leave(parent, undefined);
    }
    return true;
  }

  /** Passes over a parent for a while. */
  private leave(parent: NodeId, hint: NodeId | undefined): false {
    const { clock, logger } = this.o;
    logger.debug('Looking for another parent.', { parent });
    this.avoided.set(parent, clock.now() + avoidMs);
    this.reporter.startOver();
    this.parent = undefined;
    this.hint = hint;
    return false;
  }

  /** The nearest ancestor that answers, else whoever was named, else a seed. */
  private choose(): NodeId | undefined {
    const { history, position, seeds, self } = this.o;
    const { leader } = position;
    const own = self().id;
    // A node that was passed over before it led is worth asking once it does.
    if (leader && leader !== this.leader) this.avoided.delete(leader);
    this.leader = leader;
    const above = leader && leader !== own ? ancestors(history.state.nodes, own, leader) : [];
    const usable = above.find((n) => !this.isAvoided(n));
    if (usable) return usable;
    const { hint } = this;
    this.hint = undefined;
    if (hint && hint !== own) return hint;
    const others = seeds().filter((n) => n !== own);
    this.turn += 1;
    const fresh = others.filter((n) => !this.isAvoided(n));
    const from = fresh.length > 0 ? fresh : others;
    return from[this.turn % Math.max(1, from.length)];
  }

  private isAvoided(node: NodeId): boolean {
    return (this.avoided.get(node) ?? -Infinity) > this.o.clock.now();
  }
}

/** The follower's side of the follow call: a task that keeps the state and the lease up to date. */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { FollowCall, FollowReply, NodeAddress, Transport } from '@tanagercart/protocol';
import type { History } from './history.js';
import type { ConfigurationLease, LeaseTiming } from './lease.js';
import type { NodeLoads } from './loads.js';
import type { TreePosition } from './position.js';
import { SubtreeReporter } from './report.js';
import type { KnownVoters } from './voters.js';
import type { Subtree } from './subtree.js';
import { ancestors } from './tree.js';

/** Pause before the next attempt after a call that failed or was redirected, in milliseconds. */
const retryPauseMs = 50;

/** Interval at which the leader renews its own lease, in milliseconds. */
const selfRenewalMs = 100;

/** Time for which a parent that failed is not chosen again, in milliseconds. */
const avoidMs = 3000;

/** Time allowed for a reply after the parent's longest hold of a call, in milliseconds. */
const replyMarginMs = 300;

/**
 * Share of a full lease. A parent that does not extend the lease is abandoned once less than this
 * is left of it.
 */
const minLeaseShare = 0.7;

/** Dependencies and settings of `follow`. */
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
  /** Nodes to call while no ancestor is known or all of them are avoided. */
  readonly seeds: () => readonly NodeId[];
}

/** Follows a parent, or renews this node's own lease while it leads, until `signal` aborts. */
export async function follow(o: FollowOptions, signal: AbortSignal): Promise<void> {
  await Follower.create(o).run(signal);
}

/** Chooses a parent, calls it repeatedly and applies its replies. */
class Follower {
  private parent: NodeId | undefined;
  private seedTurn = 0;
  /** The leader at the time of the last choice of a parent. */
  private leader: NodeId | undefined;
  /** The parent that another node named in a redirect. */
  private redirect: NodeId | undefined;
  private readonly avoidedUntil = new Map<NodeId, Millis>();
  private readonly reporter: SubtreeReporter;

  private constructor(private readonly o: FollowOptions) {
    this.reporter = SubtreeReporter.create(o.subtree);
  }

  static create(options: FollowOptions): Follower {
    return new Follower(options);
  }

  async run(signal: AbortSignal): Promise<void> {
    const { clock, position } = this.o;
    while (!signal.aborted) {
      if (position.isLeader) {
        this.renewOwnLease();
        await clock.sleep(selfRenewalMs, signal);
        continue;
      }
      const accepted = await this.callParent(signal);
      if (!accepted) await clock.sleep(retryPauseMs, signal);
    }
  }

  /** Renews the leader's lease, which is as long as those that it grants to other nodes. */
  private renewOwnLease(): void {
    const { clock, lease, timing } = this.o;
    lease.renew(clock.latest() + timing.leaseMs);
    this.parent = undefined;
  }

  /** Sends one follow call; false where the parent was abandoned or none is known. */
  private async callParent(signal: AbortSignal): Promise<boolean> {
    const target = this.chooseParent();
    if (!target) return false;
    if (target !== this.parent) this.reporter.requireFull();
    this.parent = target;
    const { clock, timing, transport } = this.o;
    const sentAt = clock.latest();
    const timeoutMs = timing.holdMs + replyMarginMs;
    const reply = await transport.call(target, 'follow', this.createCall(), { timeoutMs, signal });
    if (signal.aborted) return false;
    if (reply.isErr()) return this.abandon(target, undefined);
    if (reply.value.kind === 'elsewhere') return this.abandon(target, reply.value.parent);
    return this.applyReply(target, reply.value, sentAt);
  }

  private createCall(): FollowCall {
    const { history, incarnation, self, subtree } = this.o;
    const applied = history.state.index;
    const floor = subtree.floor(applied);
    return {
      node: self(),
      incarnation,
      applied,
      floor,
      behind: floor < applied ? subtree.nodesBehind(floor + 1) : [],
      draining: this.o.draining(),
      leaseLeftMs: this.o.lease.leftMs,
      votersMark: this.o.voters.receivedHash,
      loads: this.o.loads.digestForParent(),
      ...this.reporter.next(),
    };
  }

  private applyReply(
    parent: NodeId,
    reply: FollowReply & { kind: 'state' },
    sentAt: Millis,
  ): boolean {
    const { history, lease, position, self, timing } = this.o;
    // A parent below this node in the tree has only the state that this node sent it.
    if (reply.path.includes(self().id)) return this.abandon(parent, undefined);
    if (reply.snapshot) history.restore(reply.snapshot);
    for (const { index, bytes } of reply.commands) history.apply(index, bytes);
    this.o.loads.recordFromParent(reply.loads);
    this.o.voters.recordFromParent(reply.voters);
    if (reply.wantsFull) this.reporter.requireFull();
    position.updatePath(reply.path);
    if (history.state.index < reply.upTo) return true;
    const extended = lease.renew(sentAt + reply.leaseMs);
    if (!extended && lease.leftMs < timing.leaseMs * minLeaseShare) {
      return this.abandon(parent, undefined);
    }
    return true;
  }

  /** Avoids `parent` for a while; `redirect` is the node that it named instead. */
  private abandon(parent: NodeId, redirect: NodeId | undefined): false {
    const { clock, logger } = this.o;
    logger.debug('Looking for another parent.', { parent });
    this.avoidedUntil.set(parent, clock.now() + avoidMs);
    this.reporter.requireFull();
    this.parent = undefined;
    this.redirect = redirect;
    return false;
  }

  /** The nearest ancestor that is not avoided, else the target of a redirect, else a seed. */
  private chooseParent(): NodeId | undefined {
    const { history, position, seeds, self } = this.o;
    const { leader } = position;
    const selfId = self().id;
    // A node that was avoided before it became leader is tried again once it leads.
    if (leader && leader !== this.leader) this.avoidedUntil.delete(leader);
    this.leader = leader;
    const path = leader && leader !== selfId ? ancestors(history.state.nodes, selfId, leader) : [];
    const nearest = path.find((n) => !this.isAvoided(n));
    if (nearest) return nearest;
    const { redirect } = this;
    this.redirect = undefined;
    if (redirect && redirect !== selfId) return redirect;
    const others = seeds().filter((n) => n !== selfId);
    this.seedTurn += 1;
    const available = others.filter((n) => !this.isAvoided(n));
    const candidates = available.length > 0 ? available : others;
    return candidates[this.seedTurn % Math.max(1, candidates.length)];
  }

  private isAvoided(node: NodeId): boolean {
    return (this.avoidedUntil.get(node) ?? -Infinity) > this.o.clock.now();
  }
}

/** Who owns, serves or answers what, as the shared state of a node tells it. */

import type { AccountId, Clock, NodeId } from '@tanagercart/base';
import type { Caller, EntryList } from '@tanagercart/entry';
import type { NodeLoads, Ownership, UpstreamRegistry } from '@tanagercart/membership';
import type { Model, Release } from '@tanagercart/release';
import { EntryAdvisor } from '@tanagercart/routing';
import type {
  EntryCaller,
  EntryNode,
  EntryRecommendation,
  OwnerCandidate,
} from '@tanagercart/routing';
import type { Settings } from '@tanagercart/settings';
import type { Replica, SharedState, Upstream } from '@tanagercart/state';

/** What a directory reads. */
export interface DirectoryOptions {
  readonly settings: Settings;
  readonly state: SharedState;
  readonly clock: Clock;
  readonly loads: NodeLoads;
  readonly upstreams: UpstreamRegistry;
  readonly ownership: Ownership;
  /** Whether this node takes no new work, so that callers are sent elsewhere. */
  readonly closed: () => boolean;
}

/** Looks up nodes, owners and upstreams. */
export class Directory {
  private readonly peers = new Map<NodeId, string>();
  private readonly guide: EntryAdvisor;
  private weights: { readonly release: Release; readonly sum: number } | undefined;

  private constructor(private readonly o: DirectoryOptions) {
    for (const p of o.settings.peers) this.peers.set(p.id, p.peer);
    this.guide = EntryAdvisor.create({
      self: o.settings.node.id,
      clock: o.clock,
      nodes: () => this.openNodes(),
      load: (node) => o.loads.of(node),
    });
  }

  static create(options: DirectoryOptions): Directory {
    return new Directory(options);
  }

  /** Sets the `host:port` of a peer in place of the one in the settings. */
  learn(peer: NodeId, address: string): void {
    this.peers.set(peer, address);
  }

  /** The `host:port` of a node; what the settings say of a peer goes before the shared state. */
  peerAddress(node: NodeId): string | undefined {
    return this.peers.get(node) ?? this.o.state.nodes.get(node)?.address.peer;
  }

  /** The node that grants slots on `replica`. */
  ownerOfReplica(replica: Replica): NodeId | undefined {
    return this.o.ownership.ownerOf(replica);
  }

  /** Nodes that own replicas of `model`, with what a choice among them needs. */
  ownersOf(model: Model): readonly OwnerCandidate[] {
    const owned = new Map<NodeId, number>();
    for (const replica of this.o.state.replicas.values()) {
      const owner = replica.model === model.id && this.ownerOfReplica(replica);
      if (owner) owned.set(owner, (owned.get(owner) ?? 0) + 1);
    }
    const { nodes } = this.o.state;
    const here = this.o.settings.node.dataCentre;
    return [...owned].map(([node, replicas]) => ({
      node,
      replicas,
      sameDataCentre: nodes.get(node)?.address.dataCentre === here,
    }));
  }

  /** Upstreams that stand for `service` and do not leave. */
  upstreamsOf(service: string): readonly Upstream[] {
    const all = [...this.o.state.upstreams.values()];
    return all.filter(
      (u) =>
        u.role.kind === 'service' &&
        u.role.service === service &&
        !this.o.upstreams.isLeaving(u.id),
    );
  }

  /** Entries for a caller that asks. */
  entriesFor(asker: Caller): EntryList {
    return this.advice(this.guide.recommend(this.callerOf(asker)));
  }

  /** Entries for a caller that had better leave this node, if so. */
  moveOn(asker: Caller): EntryList | undefined {
    const answer = this.guide.recommendMove(this.callerOf(asker));
    return answer && this.advice(answer);
  }

  private advice(answer: EntryRecommendation): EntryList {
    const { nodes } = this.o.state;
    const entries = answer.entries.flatMap((n) => nodes.get(n)?.address.entry ?? []);
    return { entries, lifetimeMs: answer.lifetimeMs };
  }

  private callerOf({ account, name, near, held }: Caller): EntryCaller {
    const heldNode = [...this.o.state.nodes.values()].find((n) => n.address.entry === held);
    return {
      account: account ?? name,
      share: account ? this.shareOf(account) : 0,
      name,
      near,
      currentEntry: held === undefined ? undefined : heldNode?.address.id,
    };
  }

  private shareOf(account: AccountId): number {
    const { release } = this.o.state;
    if (this.weights?.release !== release) {
      const all = [...release.clientAccounts.values()];
      this.weights = { release, sum: all.reduce((sum, a) => sum + a.weight, 0) };
    }
    const weight = release.clientAccounts.get(account)?.weight ?? 0;
    return weight / Math.max(weight, this.weights.sum, Number.MIN_VALUE);
  }

  /** Nodes that take new work, as far as this node knows. */
  private openNodes(): readonly EntryNode[] {
    const self = this.o.settings.node.id;
    return [...this.o.state.nodes.values()]
      .map((n) => n.address)
      .filter((a) => a.id !== self || !this.o.closed());
  }
}

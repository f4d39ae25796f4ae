/** Looks up nodes, replica owners and upstreams in the shared state of a node. */

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

/** Dependencies of a directory. */
export interface DirectoryOptions {
  readonly settings: Settings;
  readonly state: SharedState;
  readonly clock: Clock;
  readonly loads: NodeLoads;
  readonly upstreams: UpstreamRegistry;
  readonly ownership: Ownership;
  /** Whether this node accepts no new work, so that callers are referred to other entry nodes. */
  readonly isClosed: () => boolean;
}

/** Resolves nodes, replica owners, upstreams of services and entry nodes for callers. */
export class Directory {
  /** `host:port` of peers, from the settings or from `setPeerAddress`. */
  private readonly peers = new Map<NodeId, string>();
  private readonly guide: EntryAdvisor;
  /** Sum of the weights of all accounts, computed once for each release. */
  private totalWeight: { readonly release: Release; readonly sum: number } | undefined;

  private constructor(private readonly o: DirectoryOptions) {
    for (const p of o.settings.peers) this.peers.set(p.id, p.peer);
    this.guide = EntryAdvisor.create({
      self: o.settings.node.id,
      clock: o.clock,
      nodes: () => this.acceptingNodes(),
      load: (node) => o.loads.of(node),
    });
  }

  static create(options: DirectoryOptions): Directory {
    return new Directory(options);
  }

  /** Overrides the `host:port` that the settings give for a peer. */
  setPeerAddress(peer: NodeId, address: string): void {
    this.peers.set(peer, address);
  }

  /** The `host:port` of a node; the settings take precedence over the shared state. */
  peerAddress(node: NodeId): string | undefined {
    return this.peers.get(node) ?? this.o.state.nodes.get(node)?.address.peer;
  }

  /** The node that grants slots on `replica`. */
  ownerOfReplica(replica: Replica): NodeId | undefined {
    return this.o.ownership.ownerOf(replica);
  }

  /** Nodes that own replicas of `model`, with the data by which an owner is chosen. */
  ownersOf(model: Model): readonly OwnerCandidate[] {
    const owned = new Map<NodeId, number>();
    for (const replica of this.o.state.replicas.values()) {
      const owner = replica.model === model.id && this.ownerOfReplica(replica);
      if (owner) owned.set(owner, (owned.get(owner) ?? 0) + 1);
    }
    const { nodes } = this.o.state;
    const ownDataCentre = this.o.settings.node.dataCentre;
    return [...owned].map(([node, replicas]) => ({
      node,
      replicas,
      sameDataCentre: nodes.get(node)?.address.dataCentre === ownDataCentre,
    }));
  }

  /** Upstreams that serve `service` and are not leaving. */
  upstreamsOf(service: string): readonly Upstream[] {
    const all = [...this.o.state.upstreams.values()];
    return all.filter(
      (u) =>
        u.role.kind === 'service' &&
        u.role.service === service &&
        !this.o.upstreams.isLeaving(u.id),
    );
  }

  /** Entry nodes for a caller that requests the list. */
  entriesFor(asker: Caller): EntryList {
    return this.toAdvice(this.guide.recommend(this.callerOf(asker)));
  }

  /** Entry nodes for a caller that should move to another one, if it should. */
  redirectFor(asker: Caller): EntryList | undefined {
    const answer = this.guide.recommendMove(this.callerOf(asker));
    return answer && this.toAdvice(answer);
  }

  private toAdvice(answer: EntryRecommendation): EntryList {
    const { nodes } = this.o.state;
    const entries = answer.entries.flatMap((n) => nodes.get(n)?.address.entry ?? []);
    return { entries, lifetimeMs: answer.lifetimeMs };
  }

  private callerOf({ account, name, near, held }: Caller): EntryCaller {
    const heldNode = [...this.o.state.nodes.values()].find((n) => n.address.entry === held);
    return {
      account: account ?? name,
      share: account ? this.weightShareOf(account) : 0,
      name,
      near,
      currentEntry: held === undefined ? undefined : heldNode?.address.id,
    };
  }

  /** Weight of `account` relative to all accounts, 0 to 1. */
  private weightShareOf(account: AccountId): number {
    const { release } = this.o.state;
    if (this.totalWeight?.release !== release) {
      const all = [...release.clientAccounts.values()];
      this.totalWeight = { release, sum: all.reduce((sum, a) => sum + a.weight, 0) };
    }
    const weight = release.clientAccounts.get(account)?.weight ?? 0;
    return weight / Math.max(weight, this.totalWeight.sum, Number.MIN_VALUE);
  }

  /**
   * Nodes to which callers may be sent: all nodes of the shared state, without this node while it
   * accepts no new work. Draining nodes are removed from the shared state.
   */
  private acceptingNodes(): readonly EntryNode[] {
    const self = this.o.settings.node.id;
    return [...this.o.state.nodes.values()]
      .map((n) => n.address)
      .filter((a) => a.id !== self || !this.o.isClosed());
  }
}

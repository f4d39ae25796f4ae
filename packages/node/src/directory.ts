/** Who owns, serves or answers what, as the shared state of a node tells it. */

import { randomUUID } from 'node:crypto';
import { rendezvous } from '@tanagercart/base';
import type { AccountId, NodeId } from '@tanagercart/base';
import type { Ownership, Upstreams } from '@tanagercart/membership';
import type { Model } from '@tanagercart/release';
import type { OwnerOption } from '@tanagercart/routing';
import type { Settings } from '@tanagercart/settings';
import type { Replica, SharedState, Upstream } from '@tanagercart/state';

/** Entries that a caller is told of at most. */
const entriesTold = 3;

/** What a directory reads. */
export interface DirectoryOptions {
  readonly settings: Settings;
  readonly state: SharedState;
  readonly upstreams: Upstreams;
  readonly ownership: Ownership;
  /** Whether this node takes no new work, so that callers are sent elsewhere. */
  readonly closed: () => boolean;
}

/** Looks up nodes, owners and upstreams. */
export class Directory {
  private readonly peers = new Map<NodeId, string>();

  private constructor(private readonly o: DirectoryOptions) {
    for (const p of o.settings.peers) this.peers.set(p.id, p.peer);
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
  ownersOf(model: Model): readonly OwnerOption[] {
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
      near: nodes.get(node)?.address.dataCentre === here,
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

  /** Base URLs of nodes for an account, best first. */
  entriesFor(account: AccountId | undefined): readonly string[] {
    const { nodes } = this.o.state;
    const ranked = rendezvous(account ?? randomUUID(), [...nodes.keys()]);
    const self = this.o.settings.node.id;
    const told = this.o.closed() ? ranked.filter((n) => n !== self) : ranked;
    return told.slice(0, entriesTold).map((n) => nodes.get(n)!.address.entry);
  }
}

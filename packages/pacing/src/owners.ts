/** Which node gives the permits of an upstream. */

import { rendezvous } from '@tanagercart/base';
import type { NodeId, UpstreamId } from '@tanagercart/base';

/** The owner of an upstream's permits, and the standby, which is asked where the owner fails. */
export type PermitOwners = readonly [NodeId, NodeId?];

/** Bounds the cache of owners for one set of nodes; it is cleared when it is full. */
const maxCachedOwners = 4096;

/** Finds owners by rendezvous hashing, so that few upstreams get another when a node changes. */
export class OwnerDirectory {
  private nodes: readonly NodeId[] = [];
  private readonly found = new Map<UpstreamId, PermitOwners>();

  private constructor(private readonly self: NodeId) {}

  static create(self: NodeId): OwnerDirectory {
    return new OwnerDirectory(self);
  }

  /** The owners of an upstream among `nodes`; this node where there are none. */
  ownersOf(upstream: UpstreamId, nodes: readonly NodeId[]): PermitOwners {
    if (!isSame(nodes, this.nodes) || this.found.size >= maxCachedOwners) this.found.clear();
    this.nodes = nodes;
    const known = this.found.get(upstream);
    if (known) return known;
    const [owner = this.self, standby] = rendezvous(upstream, nodes);
    const owners: PermitOwners = standby === undefined ? [owner] : [owner, standby];
    this.found.set(upstream, owners);
    return owners;
  }
}

function isSame(a: readonly NodeId[], b: readonly NodeId[]): boolean {
  return a === b || (a.length === b.length && a.every((node, i) => node === b[i]));
}

/** Which upstreams a node watches, worked out anew only when nodes or upstreams changed. */

import { hash32, heaviest } from '@tanagercart/base';
import type { Hashed, NodeId, UpstreamId } from '@tanagercart/base';
import type { SharedState, Upstream } from '@tanagercart/state';

/** What the assignment reads of the shared state. */
export type AssignedState = Pick<SharedState, 'nodes' | 'upstreams' | 'view' | 'rosterVersion'>;

type Candidate = Hashed<NodeId>;

/** Assigns each upstream to the first of its `ownersOf`, without ranking the others. */
export class Assignment {
  private candidates: readonly Candidate[] = [];
  private near = new Map<string, Candidate[]>();
  private mine: readonly Upstream[] = [];
  private view = -1;
  private roster = -1;

  private constructor(
    private readonly self: NodeId,
    private readonly state: () => AssignedState,
  ) {}

  static create(self: NodeId, state: () => AssignedState): Assignment {
    return new Assignment(self, state);
  }

  /** The node that watches an upstream; undefined where no node is known. */
  watcherOf(u: { readonly id: UpstreamId; readonly dataCentre: string }): NodeId | undefined {
    this.observeNodes();
    return heaviest(hash32(u.id), this.near.get(u.dataCentre) ?? this.candidates);
  }

  /** The recorded upstreams that this node watches. */
  get watched(): readonly Upstream[] {
    const { view, rosterVersion, upstreams } = this.state();
    if (view === this.view && rosterVersion === this.roster) return this.mine;
    this.mine = [...upstreams.values()].filter((u) => this.watcherOf(u) === this.self);
    this.roster = rosterVersion;
    return this.mine;
  }

  private observeNodes(): void {
    const { nodes, view } = this.state();
    if (view === this.view) return;
    this.view = view;
    // The upstreams that this node watches follow from the nodes too.
    this.roster = -1;
    this.near = new Map();
    this.candidates = [...nodes.values()].map(({ address }) => {
      const candidate = { id: address.id, hash: hash32(address.id) };
      const near = this.near.get(address.dataCentre);
      if (near) near.push(candidate);
      else this.near.set(address.dataCentre, [candidate]);
      return candidate;
    });
  }
}

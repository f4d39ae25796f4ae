/**
 * The assignment of upstreams to the nodes that watch them. It is computed again only after a
 * change of the live nodes or of the recorded upstreams.
 */

import { hash32, rendezvousFirst } from '@tanagercart/base';
import type { HashedId, NodeId, UpstreamId } from '@tanagercart/base';
import type { SharedState, Upstream } from '@tanagercart/state';

/** The part of the shared state on which the assignment depends. */
export type AssignmentState = Pick<SharedState, 'nodes' | 'upstreams' | 'view' | 'rosterVersion'>;

type Candidate = HashedId<NodeId>;

/** Assigns each upstream to the node that `rankOwners` puts first, without ranking the others. */
export class Assignment {
  private candidates: readonly Candidate[] = [];
  private candidatesByDataCentre = new Map<string, Candidate[]>();
  private assigned: readonly Upstream[] = [];
  private view = -1;
  private rosterVersion = -1;

  private constructor(
    private readonly self: NodeId,
    private readonly state: () => AssignmentState,
  ) {}

  static create(self: NodeId, state: () => AssignmentState): Assignment {
    return new Assignment(self, state);
  }

  /** The node that watches an upstream; undefined while no node is recorded. */
  watcherOf(u: { readonly id: UpstreamId; readonly dataCentre: string }): NodeId | undefined {
    this.refreshCandidates();
    return rendezvousFirst(
      hash32(u.id),
      this.candidatesByDataCentre.get(u.dataCentre) ?? this.candidates,
    );
  }

  /** The recorded upstreams that this node watches. */
  get watched(): readonly Upstream[] {
    const { view, rosterVersion, upstreams } = this.state();
    if (view === this.view && rosterVersion === this.rosterVersion) return this.assigned;
    this.assigned = [...upstreams.values()].filter((u) => this.watcherOf(u) === this.self);
    this.rosterVersion = rosterVersion;
    return this.assigned;
  }

  private refreshCandidates(): void {
    const { nodes, view } = this.state();
    if (view === this.view) return;
    this.view = view;
    // The upstreams that this node watches depend on the nodes too and must be computed again.
    this.rosterVersion = -1;
    this.candidatesByDataCentre = new Map();
    this.candidates = [...nodes.values()].map(({ address }) => {
      const candidate = { id: address.id, hash: hash32(address.id) };
      const neighbours = this.candidatesByDataCentre.get(address.dataCentre);
      if (neighbours) neighbours.push(candidate);
      else this.candidatesByDataCentre.set(address.dataCentre, [candidate]);
      return candidate;
    });
  }
}

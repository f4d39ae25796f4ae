/** Which upstreams a node watches, worked out anew only when nodes or upstreams changed. */

import { hash32, mixHashes } from '@tanagercart/base';
import type { NodeId, UpstreamId } from '@tanagercart/base';
import type { SharedState, Upstream } from '@tanagercart/state';

/** What the assignment reads of the shared state. */
export type AssignedState = Pick<SharedState, 'nodes' | 'upstreams' | 'view' | 'rosterVersion'>;

interface Candidate {
  readonly id: NodeId;
  readonly hash: number;
}

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
    return bestOf(this.near.get(u.dataCentre) ?? this.candidates, hash32(u.id))?.id;
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

/** The candidate of the highest weight for a name; of equal ones the first by id. */
function bestOf(candidates: readonly Candidate[], name: number): Candidate | undefined {
  let best: Candidate | undefined;
  let most = -1;
  for (const c of candidates) {
    const weight = mixHashes(name, c.hash);
    if (weight < most || (weight === most && best && best.id < c.id)) continue;
    best = c;
    most = weight;
  }
  return best;
}

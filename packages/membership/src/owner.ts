/** Which node owns a replica or watches an upstream. */

import { rendezvous } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';
import type { LiveNode, SharedState } from '@tanagercart/state';

/** The owner of `name`: the best live node by rendezvous hashing, those in `dataCentre` first. */
export function ownerOf(state: SharedState, name: string, dataCentre: string): NodeId | undefined {
  const near = live(state, (n) => n.address.dataCentre === dataCentre);
  const candidates = near.length > 0 ? near : live(state, () => true);
  return rendezvous(name, candidates)[0];
}

function live(state: SharedState, wanted: (node: LiveNode) => boolean): readonly NodeId[] {
  return [...state.nodes.values()].filter(wanted).map((n) => n.address.id);
}

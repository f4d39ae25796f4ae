/** Ranks the live nodes as owners of an upstream or a replica. */

import { hash32, mixHashes } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';
import type { SharedState } from '@tanagercart/state';

/**
 * The live nodes in the order of rendezvous hashing for `name`, best first. Nodes in `dataCentre`
 * come before all others.
 */
export function rankOwners(
  state: SharedState,
  name: string,
  dataCentre: string,
): readonly NodeId[] {
  const hash = hash32(name);
  return [...state.nodes.values()]
    .map(({ address }) => ({
      id: address.id,
      local: address.dataCentre === dataCentre ? 1 : 0,
      weight: mixHashes(hash, hash32(address.id)),
    }))
    .sort((a, b) => b.local - a.local || b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map((n) => n.id);
}

/** Which node watches an upstream. */

import { hash32, mixHashes } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';
import type { SharedState } from '@tanagercart/state';

/** The live nodes for `name` by rendezvous hashing, best first, those in `dataCentre` before others. */
export function rankOwners(
  state: SharedState,
  name: string,
  dataCentre: string,
): readonly NodeId[] {
  const hash = hash32(name);
  return [...state.nodes.values()]
    .map(({ address }) => ({
      id: address.id,
      near: address.dataCentre === dataCentre ? 1 : 0,
      weight: mixHashes(hash, hash32(address.id)),
    }))
    .sort((a, b) => b.near - a.near || b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map((n) => n.id);
}

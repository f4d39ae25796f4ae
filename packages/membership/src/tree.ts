/**
 * The fan-out tree through which committed state and leases reach all nodes. Each node computes the
 * path above it from the shared state alone.
 */

import { hash32, rendezvous } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';
import type { LiveNode } from '@tanagercart/state';

/** Average number of followers of one parent. */
const fanOut = 8;

/**
 * The nodes above `self`, nearest first, ending with the leader. In each data centre one node
 * follows the leader, so that a single link carries the traffic of that data centre. Below it are
 * levels of 8, 64 and so on. In these each node chooses its parent by rendezvous hashing, so that
 * few nodes change their parent when another one comes up or goes down.
 */
export function ancestors(
  nodes: ReadonlyMap<NodeId, LiveNode>,
  self: NodeId,
  leader: NodeId,
): readonly NodeId[] {
  const dataCentre = nodes.get(self)?.address.dataCentre;
  if (self === leader || dataCentre === undefined) return self === leader ? [] : [leader];
  const ranked = rankNodesIn(nodes, dataCentre, leader);
  const path: NodeId[] = [];
  let rank = ranked.indexOf(self);
  while (rank > 0) {
    const [start, end] = parentLevel(rank);
    const parent = rendezvous(ranked[rank]!, ranked.slice(start, end))[0]!;
    path.push(parent);
    rank = ranked.indexOf(parent);
  }
  return path.at(-1) === leader ? path : [...path, leader];
}

/** The nodes of a data centre in a fixed order; the leader comes first. */
function rankNodesIn(
  nodes: ReadonlyMap<NodeId, LiveNode>,
  dataCentre: string,
  leader: NodeId,
): readonly NodeId[] {
  return [...nodes.values()]
    .filter((n) => n.address.dataCentre === dataCentre)
    .map((n) => ({ id: n.address.id, order: n.address.id === leader ? -1 : hash32(n.address.id) }))
    .sort((a, b) => a.order - b.order || (a.id < b.id ? -1 : 1))
    .map((n) => n.id);
}

/**
 * The ranks of the level above that of `rank`: the first one, and the one after the last. Levels
 * start at ranks 0, 1, 9, 73 and so on.
 */
function parentLevel(rank: number): readonly [number, number] {
  let [start, size] = [0, 1];
  while (rank >= start + size + size * fanOut) {
    start += size;
    size *= fanOut;
  }
  return [start, start + size];
}

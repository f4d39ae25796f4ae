/** The fan-out tree: whom each node follows, computed by every node from the shared state alone. */

import { hash32, rendezvous } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';
import type { LiveNode } from '@tanagercart/state';

/** Nodes that follow one parent, on average. */
const degree = 8;

/**
 * The nodes above `self`, nearest first, ending with the leader. Each data centre has one head that
 * follows the leader, so that one link carries its traffic; below it come levels of 8, 64 and so on,
 * in which each node picks its parent by rendezvous hashing, so that few move when one comes or goes.
 */
export function ancestors(
  nodes: ReadonlyMap<NodeId, LiveNode>,
  self: NodeId,
  leader: NodeId,
): readonly NodeId[] {
  const dataCentre = nodes.get(self)?.address.dataCentre;
  if (self === leader || dataCentre === undefined) return self === leader ? [] : [leader];
  const ranked = rankedIn(nodes, dataCentre, leader);
  const above: NodeId[] = [];
  let rank = ranked.indexOf(self);
  while (rank > 0) {
    const [start, end] = levelAbove(rank);
    const parent = rendezvous(ranked[rank]!, ranked.slice(start, end))[0]!;
    above.push(parent);
    rank = ranked.indexOf(parent);
  }
  return above.at(-1) === leader ? above : [...above, leader];
}

/** The nodes of a data centre in a fixed order, the leader first. */
function rankedIn(
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

/** Ranks of the level above that of `rank`: levels start at 0, 1, 9, 73 and so on. */
function levelAbove(rank: number): readonly [number, number] {
  let [start, size] = [0, 1];
  while (rank >= start + size + size * degree) {
    start += size;
    size *= degree;
  }
  return [start, start + size];
}

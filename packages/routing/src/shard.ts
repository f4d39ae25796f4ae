/**
 * Shuffle sharding: each account is served by a few nodes, and few accounts have the same ones.
 * Protects the other accounts when the requests of one account overload or crash its nodes.
 */

import { rendezvous } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';

/** Fewest nodes that serve an account, so that it can lose some of them. */
const minNodes = 4;

/** Ratio of the number of an account's nodes to its share of all nodes. */
const headroomFactor = 2;

/**
 * The nodes that serve an account, chosen by rendezvous hashing. `share` is the account's weight
 * relative to the sum of all weights, from 0 to 1.
 */
export function shardOf(
  account: string,
  share: number,
  nodes: readonly NodeId[],
): readonly NodeId[] {
  const size = Math.max(minNodes, Math.ceil(share * nodes.length * headroomFactor));
  return rendezvous(account, nodes).slice(0, size);
}

/** Shuffle sharding: each account is served by few nodes, a different few for each account. */

import { rendezvous } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';

/** Nodes that serve an account at least, so that the loss of some leaves others. */
const minNodes = 4;

/** By how much the nodes of an account may exceed its share of all nodes. */
const headroomFactor = 2;

/** The nodes that serve an account with `share` of the weight of all accounts. */
export function shardOf(
  account: string,
  share: number,
  nodes: readonly NodeId[],
): readonly NodeId[] {
  const size = Math.max(minNodes, Math.ceil(share * nodes.length * headroomFactor));
  return rendezvous(account, nodes).slice(0, size);
}

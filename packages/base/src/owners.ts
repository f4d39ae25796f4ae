/** Which of a set of nodes owns a key, by rendezvous hashing. */

import { hash32, rendezvousFirst } from './hash.js';
import type { HashedId } from './hash.js';

/** Bounds each cache of one set of nodes; it is cleared when it is full. */
const maxCachedOwners = 20_000;

/**
 * The owners of keys among one set of nodes, with a cache. When a node joins or leaves, only few
 * keys have another owner in the table of the new set.
 */
export class OwnerTable<Key extends string, Node extends string> {
  private readonly owners = new Map<Key, Node | undefined>();
  private readonly standbys = new Map<Key, Node | undefined>();
  private readonly candidates: readonly HashedId<Node>[];

  private constructor(readonly nodes: readonly Node[]) {
    this.candidates = nodes.map((id) => ({ id, hash: hash32(id) }));
  }

  static create<Key extends string, Node extends string>(
    nodes: readonly Node[],
  ): OwnerTable<Key, Node> {
    return new OwnerTable([...nodes]);
  }

  /** Whether the table was made for these nodes, in this order. */
  isFor(nodes: readonly Node[]): boolean {
    return nodes.length === this.nodes.length && nodes.every((n, i) => n === this.nodes[i]);
  }

  /** The owner of a key; undefined where there are no nodes. */
  ownerOf(key: Key): Node | undefined {
    return cached(this.owners, key, () => rendezvousFirst(hash32(key), this.candidates));
  }

  /** The node that owns a key once its owner has left; undefined where there is none. */
  standbyOf(key: Key): Node | undefined {
    return cached(this.standbys, key, () => {
      const owner = this.ownerOf(key);
      const others = this.candidates.filter(({ id }) => id !== owner);
      return rendezvousFirst(hash32(key), others);
    });
  }
}

function cached<K, V>(cache: Map<K, V | undefined>, key: K, find: () => V | undefined) {
  if (cache.has(key)) return cache.get(key);
  if (cache.size >= maxCachedOwners) cache.clear();
  const found = find();
  cache.set(key, found);
  return found;
}

/** Which node owns which account, before and after the set of live nodes last changed. */

import { hash32, rendezvousFirst } from '@tanagercart/base';
import type { AccountId, HashedId, NodeId } from '@tanagercart/base';

/** Bounds the cache of owners for one set of nodes; it is cleared when it is full. */
const maxCachedOwners = 20_000;

/** One set of live nodes, with a cache of the owners of accounts among them. */
class OwnerTable {
  private readonly found = new Map<AccountId, NodeId | undefined>();
  private readonly candidates: readonly HashedId<NodeId>[];

  constructor(readonly nodes: readonly NodeId[]) {
    this.candidates = nodes.map((id) => ({ id, hash: hash32(id) }));
  }

  ownerOf(account: AccountId): NodeId | undefined {
    if (!this.found.has(account)) {
      if (this.found.size >= maxCachedOwners) this.found.clear();
      this.found.set(account, rendezvousFirst(hash32(account), this.candidates));
    }
    return this.found.get(account);
  }
}

/**
 * Assigns an owner to each account by rendezvous hashing, so that only few accounts get another
 * owner when a node joins or leaves.
 */
export class QuotaOwners {
  private current = new OwnerTable([]);
  private previous = new OwnerTable([]);

  static create(): QuotaOwners {
    return new QuotaOwners();
  }

  /** Sets the live nodes. Returns whether they differ from those before. */
  update(nodes: readonly NodeId[]): boolean {
    const same =
      nodes.length === this.current.nodes.length &&
      nodes.every((n, i) => n === this.current.nodes[i]);
    if (same) return false;
    this.previous = this.current;
    this.current = new OwnerTable([...nodes]);
    return true;
  }

  isLive(node: NodeId): boolean {
    return this.current.nodes.includes(node);
  }

  /** The owner of an account; undefined where no node is live. */
  ownerOf(account: AccountId): NodeId | undefined {
    return this.current.ownerOf(account);
  }

  /** The owner of an account before the set of live nodes last changed. */
  previousOwnerOf(account: AccountId): NodeId | undefined {
    return this.previous.ownerOf(account);
  }
}

/** Which node keeps which account, before and after the last change of the live nodes. */

import { hash32, heaviest } from '@tanagercart/base';
import type { AccountId, Hashed, NodeId } from '@tanagercart/base';

/** Chosen keepers that are remembered at most. */
const remembered = 20_000;

/** One set of live nodes, with the keepers found among them. */
class Choice {
  private readonly found = new Map<AccountId, NodeId | undefined>();
  private readonly candidates: readonly Hashed<NodeId>[];

  constructor(readonly nodes: readonly NodeId[]) {
    this.candidates = nodes.map((id) => ({ id, hash: hash32(id) }));
  }

  of(account: AccountId): NodeId | undefined {
    if (!this.found.has(account)) {
      if (this.found.size >= remembered) this.found.clear();
      this.found.set(account, heaviest(hash32(account), this.candidates));
    }
    return this.found.get(account);
  }
}

/** Finds the keepers of accounts by rendezvous hashing, so that few accounts move with a node. */
export class QuotaOwners {
  private now = new Choice([]);
  private previous = new Choice([]);

  static create(): QuotaOwners {
    return new QuotaOwners();
  }

  /** Takes over the set of live nodes; whether it differs from the one before. */
  update(nodes: readonly NodeId[]): boolean {
    const same =
      nodes.length === this.now.nodes.length && nodes.every((n, i) => n === this.now.nodes[i]);
    if (same) return false;
    this.previous = this.now;
    this.now = new Choice([...nodes]);
    return true;
  }

  isLive(node: NodeId): boolean {
    return this.now.nodes.includes(node);
  }

  /** The keeper of an account. */
  ownerOf(account: AccountId): NodeId | undefined {
    return this.now.of(account);
  }

  /** The keeper of an account before the last change of the live nodes. */
  previousOwnerOf(account: AccountId): NodeId | undefined {
    return this.previous.of(account);
  }
}

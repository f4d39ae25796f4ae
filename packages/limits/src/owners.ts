/** Which node owns which account, before and after the set of live nodes last changed. */

import { OwnerTable } from '@tanagercart/base';
import type { AccountId, NodeId } from '@tanagercart/base';

/** The owners of accounts among the live nodes. */
export class QuotaOwners {
  private current = OwnerTable.create<AccountId, NodeId>([]);
  private previous = OwnerTable.create<AccountId, NodeId>([]);

  static create(): QuotaOwners {
    return new QuotaOwners();
  }

  /** Sets the live nodes. Returns whether they differ from those before. */
  update(nodes: readonly NodeId[]): boolean {
    if (this.current.isFor(nodes)) return false;
    this.previous = this.current;
    this.current = OwnerTable.create(nodes);
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

/** The limits of client accounts on one node: its limiter and the quotas that it allocates. */

import type { Clock, NodeId, TaskGroup } from '@tanagercart/base';
import { Limiter, QuotaOwners, QuotaServer } from '@tanagercart/limits';
import type { History } from '@tanagercart/membership';
import type { Transport } from '@tanagercart/protocol';

/** Dependencies of `NodeLimits`. */
export interface NodeLimitsOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly history: History;
}

/**
 * Connects the limiter and the quota server of a node to the shared state. Quotas come from the
 * release in force, and the owner of each account changes with the set of live nodes.
 */
export class NodeLimits {
  /** Admits the requests that this node receives from callers. */
  readonly limiter: Limiter;
  /** Allocates the quotas of the accounts that this node owns to the limiters of all nodes. */
  private readonly quotaServer: QuotaServer;
  private readonly quotaOwners = QuotaOwners.create();

  private constructor(private readonly o: NodeLimitsOptions) {
    const { self, clock, transport, history } = o;
    const { quotaOwners } = this;
    const ownerOf = quotaOwners.ownerOf.bind(quotaOwners);
    this.limiter = Limiter.create({ clock, transport, ownerOf });
    this.quotaServer = QuotaServer.create({
      self,
      clock,
      transport,
      ownerOf,
      previousOwnerOf: quotaOwners.previousOwnerOf.bind(quotaOwners),
      isLive: quotaOwners.isLive.bind(quotaOwners),
      quotaOf: (id, tier) => {
        const { release } = history.state;
        const account = release.clientAccounts.get(id);
        return account && release.tierOf(account, tier);
      },
    });
    history.onChange(() => this.updateNodes());
  }

  static create(options: NodeLimitsOptions): NodeLimits {
    return new NodeLimits(options);
  }

  /** Starts the tasks that release idle allocations. */
  start(tasks: TaskGroup, signal: AbortSignal): void {
    tasks.start(() => this.limiter.sweep(signal));
    tasks.start(() => this.quotaServer.sweep(signal));
  }

  private updateNodes(): void {
    const changed = this.quotaOwners.update([...this.o.history.state.nodes.keys()]);
    if (!changed) return;
    this.quotaServer.onNodesChanged();
    this.limiter.onNodesChanged();
  }
}

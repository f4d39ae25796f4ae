/** The limits of client accounts on one node: its shares, and the accounts that it keeps. */

import type { Clock, NodeId, TaskGroup } from '@tanagercart/base';
import { Limiter, QuotaOwners, QuotaServer } from '@tanagercart/limits';
import type { History } from '@tanagercart/membership';
import type { Transport } from '@tanagercart/protocol';

/** What the limits of a node need. */
export interface NodeLimitsOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  readonly transport: Transport;
  readonly history: History;
}

/** Follows the live nodes and the release, and keeps limits under them. */
export class NodeLimits {
  readonly limiter: Limiter;
  private readonly keeper: QuotaServer;
  private readonly keepers = QuotaOwners.create();

  private constructor(private readonly o: NodeLimitsOptions) {
    const { self, clock, transport, history } = o;
    const { keepers } = this;
    const keeperOf = keepers.ownerOf.bind(keepers);
    this.limiter = Limiter.create({ clock, transport, ownerOf: keeperOf });
    this.keeper = QuotaServer.create({
      self,
      clock,
      transport,
      ownerOf: keeperOf,
      previousOwnerOf: keepers.previousOwnerOf.bind(keepers),
      isLive: keepers.isLive.bind(keepers),
      quotaOf: (id, tier) => {
        const { release } = history.state;
        const account = release.clientAccounts.get(id);
        return account && release.tierOf(account, tier);
      },
    });
    history.onChange(() => this.follow());
  }

  static create(options: NodeLimitsOptions): NodeLimits {
    return new NodeLimits(options);
  }

  /** Starts to give back what is idle. */
  begin(tasks: TaskGroup, signal: AbortSignal): void {
    tasks.start(() => this.limiter.sweep(signal));
    tasks.start(() => this.keeper.sweep(signal));
  }

  private follow(): void {
    const changed = this.keepers.update([...this.o.history.state.nodes.keys()]);
    if (!changed) return;
    this.keeper.onNodesChanged();
    this.limiter.onNodesChanged();
  }
}

/** The limits of client accounts on one node: its shares, and the accounts that it keeps. */

import type { Clock, NodeId, TaskGroup } from '@tanagercart/base';
import { Keeper, Keepers, Limiter } from '@tanagercart/limits';
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
  private readonly keeper: Keeper;
  private readonly keepers = Keepers.create();

  private constructor(private readonly o: NodeLimitsOptions) {
    const { self, clock, transport, history } = o;
    const { keepers } = this;
    const keeperOf = keepers.of.bind(keepers);
    this.limiter = Limiter.create({ clock, transport, keeperOf });
    this.keeper = Keeper.create({
      self,
      clock,
      transport,
      keeperOf,
      keeperBefore: keepers.before.bind(keepers),
      isLive: keepers.isLive.bind(keepers),
      contractOf: (id, tier) => {
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
    this.keeper.nodesChanged();
    this.limiter.nodesChanged();
  }
}

/** The placement lease, and the orders to upstreams that are issued under it. */

import { unreachable } from '@tanagercart/base';
import type { ModelId, NodeId, UpstreamId } from '@tanagercart/base';
import type { Upstream } from './upstreams.js';

/** A part of a model that an upstream can load and unload separately. */
export interface ModelPart {
  readonly kind: 'version' | 'adapter';
  readonly name: string;
}

/** An order to one incarnation of an upstream. No two pending orders have the same id. */
export interface UpstreamOrder {
  readonly upstream: UpstreamId;
  readonly incarnation: string;
  readonly model: ModelId;
  readonly action: 'load' | 'unload';
  readonly part: ModelPart;
}

/** A pending order: issued and not settled. */
export interface IssuedOrder {
  readonly order: UpstreamOrder;
  /** Fencing token under which the order was issued. */
  readonly epoch: number;
}

/** The holder of the lease: the only node that may send orders to upstreams. */
export interface PlacementHolder {
  readonly node: NodeId;
  /** Log index at which the node took the lease. Serves as the fencing token of its orders. */
  readonly epoch: number;
}

/** Commands that change the holder of the lease or the pending orders. */
export type PlacementCommand =
  | { readonly kind: 'take-placement'; readonly node: NodeId }
  | {
      readonly kind: 'issue-upstream-order';
      readonly epoch: number;
      readonly order: UpstreamOrder;
      /** Loads that may be pending at once in the whole fleet. */
      readonly loadLimit: number;
    }
  | {
      readonly kind: 'settle-upstream-order';
      readonly epoch: number;
      readonly order: UpstreamOrder;
    };

/** The outcome of a placement command. */
export type PlacementOutcome =
  | { readonly kind: 'placement-taken'; readonly epoch: number }
  | { readonly kind: 'done' }
  /** As many loads are pending as the store of model weights may serve at once. */
  | { readonly kind: 'store-busy' }
  /** The lease has another epoch, or the order is pending already or not pending any more. */
  | { readonly kind: 'stale' };

/** The table as a snapshot stores it. */
export interface PlacementSnapshot {
  readonly holder: PlacementHolder | undefined;
  readonly issued: readonly IssuedOrder[];
}

/** Identifies an order among the pending ones: its upstream and the part of the model. */
export function orderIdOf({ upstream, part }: UpstreamOrder): string {
  return `${upstream}|${part.kind}|${part.name}`;
}

/**
 * The placement lease and the pending orders. A pending load takes a share of the store of model
 * weights and counts towards the load limit until it is settled, even when another node has taken
 * the lease since.
 */
export class PlacementTable {
  private currentHolder: PlacementHolder | undefined;
  private readonly issuedOrders = new Map<string, IssuedOrder>();

  static create(): PlacementTable {
    return new PlacementTable();
  }

  get holder(): PlacementHolder | undefined {
    return this.currentHolder;
  }

  get issued(): readonly IssuedOrder[] {
    return [...this.issuedOrders.values()];
  }

  /** Number of loads that are issued and not settled. */
  get pendingLoads(): number {
    return this.issued.filter((i) => i.order.action === 'load').length;
  }

  apply(index: number, command: PlacementCommand): PlacementOutcome {
    switch (command.kind) {
      case 'take-placement':
        this.currentHolder = { node: command.node, epoch: index };
        return { kind: 'placement-taken', epoch: index };
      case 'issue-upstream-order':
        return this.issue(command.epoch, command.order, command.loadLimit);
      case 'settle-upstream-order':
        return this.settle(command.epoch, command.order);
      default:
        return unreachable(command);
    }
  }

  /** Removes the orders to incarnations of upstreams that are no longer up. */
  removeStaleOrders(upstreams: ReadonlyMap<UpstreamId, Upstream>): void {
    for (const [id, { order }] of this.issuedOrders) {
      const upstream = upstreams.get(order.upstream);
      if (upstream?.incarnation !== order.incarnation) this.issuedOrders.delete(id);
    }
  }

  snapshot(): PlacementSnapshot {
    return { holder: this.currentHolder, issued: this.issued };
  }

  restore(snapshot: PlacementSnapshot): void {
    this.currentHolder = snapshot.holder;
    this.issuedOrders.clear();
    for (const i of snapshot.issued) this.issuedOrders.set(orderIdOf(i.order), i);
  }

  private issue(epoch: number, order: UpstreamOrder, loadLimit: number): PlacementOutcome {
    const id = orderIdOf(order);
    if (epoch !== this.currentHolder?.epoch || this.issuedOrders.has(id)) return { kind: 'stale' };
    if (order.action === 'load' && this.pendingLoads >= loadLimit) return { kind: 'store-busy' };
    this.issuedOrders.set(id, { order, epoch });
    return { kind: 'done' };
  }

  private settle(epoch: number, order: UpstreamOrder): PlacementOutcome {
    if (epoch !== this.currentHolder?.epoch) return { kind: 'stale' };
    return this.issuedOrders.delete(orderIdOf(order)) ? { kind: 'done' } : { kind: 'stale' };
  }
}

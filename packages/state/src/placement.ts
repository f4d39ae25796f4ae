/** The placement lease, and the orders to upstreams that were issued under it and not settled. */

import { unreachable } from '@tanagercart/base';
import type { ModelId, NodeId, UpstreamId } from '@tanagercart/base';
import type { Upstream } from './upstreams.js';

/** A part of a model that an upstream loads and unloads on its own. */
export interface ModelPart {
  readonly kind: 'version' | 'adapter';
  readonly name: string;
}

/** An order to one start of an upstream; no two that are issued have one id. */
export interface UpstreamOrder {
  readonly upstream: UpstreamId;
  readonly incarnation: string;
  readonly model: ModelId;
  readonly action: 'load' | 'unload';
  readonly part: ModelPart;
}

/** An order that was issued and not settled. */
export interface IssuedOrder {
  readonly order: UpstreamOrder;
  /** Fencing number under which it was sent. */
  readonly epoch: number;
}

/** The node that may order upstreams. */
export interface PlacementHolder {
  readonly node: NodeId;
  /** Log index at which it took the lease: the fencing number of its orders. */
  readonly epoch: number;
}

/** Changes of the placement lease and of the orders issued under it. */
export type PlacementCommand =
  | { readonly kind: 'take-placement'; readonly node: NodeId }
  | {
      readonly kind: 'issue-upstream-order';
      readonly epoch: number;
      readonly order: UpstreamOrder;
      /** Loads that may be issued at once in the whole fleet. */
      readonly loadLimit: number;
    }
  | {
      readonly kind: 'settle-upstream-order';
      readonly epoch: number;
      readonly order: UpstreamOrder;
    };

/** What became of such a change. */
export type PlacementOutcome =
  | { readonly kind: 'placement-taken'; readonly epoch: number }
  | { readonly kind: 'done' }
  /** The loads issued already are as many as the weight store serves. */
  | { readonly kind: 'store-busy' }
  | { readonly kind: 'stale' };

/** The lease and its orders as a snapshot holds them. */
export interface PlacementSnapshot {
  readonly holder: PlacementHolder | undefined;
  readonly issued: readonly IssuedOrder[];
}

/** Names an order among those issued. */
export function orderIdOf({ upstream, part }: UpstreamOrder): string {
  return `${upstream}|${part.kind}|${part.name}`;
}

/**
 * Keeps the placement lease. An issued load takes a share of the weight store until it is settled,
 * also when another node has taken the lease since.
 */
export class PlacementTable {
  private current: PlacementHolder | undefined;
  private readonly orders = new Map<string, IssuedOrder>();

  static create(): PlacementTable {
    return new PlacementTable();
  }

  get holder(): PlacementHolder | undefined {
    return this.current;
  }

  get issued(): readonly IssuedOrder[] {
    return [...this.orders.values()];
  }

  /** Loads that were issued and not settled. */
  get pendingLoads(): number {
    return this.issued.filter((i) => i.order.action === 'load').length;
  }

  apply(index: number, command: PlacementCommand): PlacementOutcome {
    switch (command.kind) {
      case 'take-placement':
        this.current = { node: command.node, epoch: index };
        return { kind: 'placement-taken', epoch: index };
      case 'issue-upstream-order':
        return this.issue(command.epoch, command.order, command.loadLimit);
      case 'settle-upstream-order':
        return this.settle(command.epoch, command.order);
      default:
        return unreachable(command);
    }
  }

  /** Drops the orders to starts of upstreams that are no longer up. */
  removeStaleOrders(upstreams: ReadonlyMap<UpstreamId, Upstream>): void {
    for (const [id, { order }] of this.orders) {
      const upstream = upstreams.get(order.upstream);
      if (upstream?.incarnation !== order.incarnation) this.orders.delete(id);
    }
  }

  snapshot(): PlacementSnapshot {
    return { holder: this.current, issued: this.issued };
  }

  restore(snapshot: PlacementSnapshot): void {
    this.current = snapshot.holder;
    this.orders.clear();
    for (const i of snapshot.issued) this.orders.set(orderIdOf(i.order), i);
  }

  private issue(epoch: number, order: UpstreamOrder, loadLimit: number): PlacementOutcome {
    const id = orderIdOf(order);
    if (epoch !== this.current?.epoch || this.orders.has(id)) return { kind: 'stale' };
    if (order.action === 'load' && this.pendingLoads >= loadLimit) return { kind: 'store-busy' };
    this.orders.set(id, { order, epoch });
    return { kind: 'done' };
  }

  private settle(epoch: number, order: UpstreamOrder): PlacementOutcome {
    if (epoch !== this.current?.epoch) return { kind: 'stale' };
    return this.orders.delete(orderIdOf(order)) ? { kind: 'done' } : { kind: 'stale' };
  }
}

/** The nodes that are up. */

import { unreachable } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';
import type { NodeAddress } from '@tanagercart/protocol';

/** Changes of the set of live nodes. */
export type NodeCommand =
  | { readonly kind: 'node-up'; readonly node: NodeAddress; readonly incarnation: string }
  | {
      readonly kind: 'node-down';
      readonly node: NodeId;
      readonly incarnation: string;
      /** Whether the process is known to give no grants any more. */
      readonly stopped: boolean;
    };

/** What became of a change of the nodes. */
export type NodeOutcome = { readonly kind: 'done' } | { readonly kind: 'stale' };

/** A node that is up. */
export interface LiveNode {
  readonly address: NodeAddress;
  readonly incarnation: string;
  /** Log index at which it came up. */
  readonly since: number;
}

/** A process that was recorded as down. */
export interface Departure {
  readonly incarnation: string;
  /** Whether it was known to give no grants any more. */
  readonly stopped: boolean;
}

/** Nodes of which earlier starts are remembered. */
const rememberedNodes = 1024;

/** Earlier starts of a node that are remembered. */
const rememberedStarts = 4;

/** The live nodes as a snapshot holds them. */
export interface NodeSnapshot {
  readonly view: number;
  /** Starts of each node, the latest last. */
  readonly starts: readonly (readonly [NodeId, readonly string[]])[];
  readonly departures: readonly (readonly [NodeId, Departure])[];
  readonly nodes: readonly LiveNode[];
}

type NodeDown = NodeCommand & { readonly kind: 'node-down' };

/** Keeps the set of live nodes. */
export class NodeTable {
  private index = 0;
  private readonly table = new Map<NodeId, LiveNode>();
  private readonly departures = new Map<NodeId, Departure>();
  private readonly starts = new Map<NodeId, readonly string[]>();

  static create(): NodeTable {
    return new NodeTable();
  }

  get live(): ReadonlyMap<NodeId, LiveNode> {
    return this.table;
  }

  /** Log index of the last change: the epoch of ownership. */
  get view(): number {
    return this.index;
  }

  /** Whether a later start of the node is known than `incarnation`. */
  isSuperseded(node: NodeId, incarnation: string): boolean {
    const starts = this.starts.get(node) ?? [];
    return starts.includes(incarnation) && starts.at(-1) !== incarnation;
  }

  /** The last departure of a node that is down. */
  departure(node: NodeId): Departure | undefined {
    return this.departures.get(node);
  }

  apply(index: number, command: NodeCommand): NodeOutcome {
    switch (command.kind) {
      case 'node-up':
        return this.up(index, command.node, command.incarnation);
      case 'node-down':
        return this.down(index, command);
      default:
        return unreachable(command);
    }
  }

  snapshot(): NodeSnapshot {
    return {
      view: this.index,
      starts: [...this.starts],
      departures: [...this.departures],
      nodes: [...this.table.values()],
    };
  }

  restore(snapshot: NodeSnapshot): void {
    this.table.clear();
    for (const node of snapshot.nodes) {
      this.table.set(node.address.id, node);
    }
    this.starts.clear();
    for (const [node, starts] of snapshot.starts) {
      this.starts.set(node, starts);
    }
    this.departures.clear();
    for (const [node, departure] of snapshot.departures) {
      this.departures.set(node, departure);
    }
    this.index = snapshot.view;
  }

  private up(index: number, address: NodeAddress, incarnation: string): NodeOutcome {
    if (this.isSuperseded(address.id, incarnation)) {
      return { kind: 'stale' };
    }
    this.remember(address.id, incarnation);
    this.table.set(address.id, { address, incarnation, since: index });
    this.index = index;
    return { kind: 'done' };
  }

  private down(index: number, { node, incarnation, stopped }: NodeDown): NodeOutcome {
    if (this.table.get(node)?.incarnation !== incarnation) {
      return { kind: 'stale' };
    }
    this.table.delete(node);
    this.departures.delete(node);
    this.departures.set(node, { incarnation, stopped });
    const oldest = this.departures.keys().next().value;
    if (this.departures.size > rememberedNodes && oldest) this.departures.delete(oldest);
    this.index = index;
    return { kind: 'done' };
  }

  private remember(node: NodeId, incarnation: string): void {
    const known = this.starts.get(node) ?? [];
    if (known.at(-1) === incarnation) return;
    this.starts.delete(node);
    this.starts.set(node, [...known, incarnation].slice(-rememberedStarts));
    const oldest = this.starts.keys().next().value;
    if (this.starts.size > rememberedNodes && oldest) this.starts.delete(oldest);
  }
}

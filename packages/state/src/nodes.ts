/** The table of live nodes. */

import { unreachable } from '@tanagercart/base';
import type { NodeId } from '@tanagercart/base';
import type { NodeAddress } from '@tanagercart/protocol';

/** Commands that record a node as up or down. */
export type NodeCommand =
  | { readonly kind: 'node-up'; readonly node: NodeAddress; readonly incarnation: string }
  | {
      readonly kind: 'node-down';
      readonly node: NodeId;
      readonly incarnation: string;
      /** Whether the process is known to issue no more grants. */
      readonly stopped: boolean;
    };

/** The outcome of a node command. */
export type NodeOutcome = { readonly kind: 'done' } | { readonly kind: 'stale' };

/** A node that is up. */
export interface LiveNode {
  readonly address: NodeAddress;
  readonly incarnation: string;
  /** Log index at which the node was recorded as up. */
  readonly since: number;
}

/** A node process that was recorded as down. */
export interface Departure {
  readonly incarnation: string;
  /** Whether the process was known to issue no more grants. */
  readonly stopped: boolean;
}

/** Bounds the nodes whose incarnations and departures are kept; the oldest record is evicted. */
const maxRememberedNodes = 1024;

/** Bounds the incarnations that are kept of each node. */
const maxRememberedStarts = 4;

/** The table as a snapshot stores it. */
export interface NodeSnapshot {
  readonly view: number;
  /** Incarnations of each node, the latest last. */
  readonly starts: readonly (readonly [NodeId, readonly string[]])[];
  readonly departures: readonly (readonly [NodeId, Departure])[];
  readonly nodes: readonly LiveNode[];
}

type NodeDown = NodeCommand & { readonly kind: 'node-down' };

/**
 * The set of live nodes. It remembers the recent incarnations of each node, so that a delayed
 * command of an earlier process cannot replace a later one.
 */
export class NodeTable {
  private lastChangeIndex = 0;
  private readonly nodes = new Map<NodeId, LiveNode>();
  private readonly departures = new Map<NodeId, Departure>();
  private readonly starts = new Map<NodeId, readonly string[]>();

  static create(): NodeTable {
    return new NodeTable();
  }

  get live(): ReadonlyMap<NodeId, LiveNode> {
    return this.nodes;
  }

  /** Log index of the last change of the set. Serves as the epoch of ownership. */
  get view(): number {
    return this.lastChangeIndex;
  }

  /** Whether the node has been recorded with a later incarnation than this one. */
  isSuperseded(node: NodeId, incarnation: string): boolean {
    const starts = this.starts.get(node) ?? [];
    return starts.includes(incarnation) && starts.at(-1) !== incarnation;
  }

  /** The process of the node that was last recorded as down. */
  departure(node: NodeId): Departure | undefined {
    return this.departures.get(node);
  }

  apply(index: number, command: NodeCommand): NodeOutcome {
    switch (command.kind) {
      case 'node-up':
        return this.recordUp(index, command.node, command.incarnation);
      case 'node-down':
        return this.recordDown(index, command);
      default:
        return unreachable(command);
    }
  }

  snapshot(): NodeSnapshot {
    return {
      view: this.lastChangeIndex,
      starts: [...this.starts],
      departures: [...this.departures],
      nodes: [...this.nodes.values()],
    };
  }

  restore(snapshot: NodeSnapshot): void {
    this.nodes.clear();
    for (const node of snapshot.nodes) {
      this.nodes.set(node.address.id, node);
    }
    this.starts.clear();
    for (const [node, starts] of snapshot.starts) {
      this.starts.set(node, starts);
    }
    this.departures.clear();
    for (const [node, departure] of snapshot.departures) {
      this.departures.set(node, departure);
    }
    this.lastChangeIndex = snapshot.view;
  }

  private recordUp(index: number, address: NodeAddress, incarnation: string): NodeOutcome {
    if (this.isSuperseded(address.id, incarnation)) {
      return { kind: 'stale' };
    }
    this.recordStart(address.id, incarnation);
    this.nodes.set(address.id, { address, incarnation, since: index });
    this.lastChangeIndex = index;
    return { kind: 'done' };
  }

  private recordDown(index: number, { node, incarnation, stopped }: NodeDown): NodeOutcome {
    if (this.nodes.get(node)?.incarnation !== incarnation) {
      return { kind: 'stale' };
    }
    this.nodes.delete(node);
    this.departures.delete(node);
    this.departures.set(node, { incarnation, stopped });
    const oldest = this.departures.keys().next().value;
    if (this.departures.size > maxRememberedNodes && oldest) this.departures.delete(oldest);
    this.lastChangeIndex = index;
    return { kind: 'done' };
  }

  private recordStart(node: NodeId, incarnation: string): void {
    const known = this.starts.get(node) ?? [];
    if (known.at(-1) === incarnation) return;
    this.starts.delete(node);
    this.starts.set(node, [...known, incarnation].slice(-maxRememberedStarts));
    const oldest = this.starts.keys().next().value;
    if (this.starts.size > maxRememberedNodes && oldest) this.starts.delete(oldest);
  }
}

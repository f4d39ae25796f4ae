/** Load figures of all nodes, carried up and down the fan-out tree by follow calls. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { LoadDigest } from '@tanagercart/protocol';
import type { History } from './history.js';

/** Least time between two digests on one link, in milliseconds. */
const leastPeriodMs: Millis = 350;

/** Time between two digests for each node that they cover, in milliseconds. */
const periodPerNodeMs: Millis = 20;

/** Age at which a figure is no longer used, in milliseconds. */
const staleMs: Millis = 10_000;

/** Levels for each doubling of the load. */
const levelsPerDoubling = 16;

const topLevel = 255;

/** What the load figures of a node rest on. */
export interface NodeLoadsOptions {
  readonly self: NodeId;
  readonly history: History;
  readonly clock: Clock;
  /** Requests that this node has in progress. */
  readonly own: () => number;
}

interface Figure {
  readonly load: number;
  readonly at: Millis;
}

/** What one node knows of the load of all. */
export class NodeLoads {
  private readonly below = new Map<NodeId, Figure>();
  private readonly above = new Map<NodeId, Figure>();
  private readonly sentDown = new Map<NodeId, Millis>();
  private sentUp = -Infinity;
  private order: readonly NodeId[] = [];
  private orderView = -1;

  private constructor(private readonly o: NodeLoadsOptions) {}

  static create(options: NodeLoadsOptions): NodeLoads {
    return new NodeLoads(options);
  }

  /** Requests in progress on a node; undefined where no recent figure is known. */
  of(node: NodeId): number | undefined {
    if (node === this.o.self) return this.o.own();
    const below = this.fresh(this.below.get(node));
    return (below ?? this.fresh(this.above.get(node)))?.load;
  }

  /** The digest for the parent: this node and those below it; undefined while none is due. */
  up(): LoadDigest | undefined {
    if (!this.isDue(this.sentUp)) return undefined;
    this.sentUp = this.o.clock.now();
    return this.digest((n) =>
      n === this.o.self ? this.o.own() : this.fresh(this.below.get(n))?.load,
    );
  }

  /** The digest for a child: every node; undefined while none is due. */
  downTo(child: NodeId): LoadDigest | undefined {
    if (!this.isDue(this.sentDown.get(child) ?? -Infinity)) return undefined;
    this.sentDown.set(child, this.o.clock.now());
    return this.digest((n) => this.of(n));
  }

  /** Takes the digest of a child. */
  heardBelow(digest: LoadDigest | undefined): void {
    this.take(digest, this.below);
  }

  /** Takes the digest of the parent. */
  heardAbove(digest: LoadDigest | undefined): void {
    this.take(digest, this.above);
  }

  private isDue(sentAt: Millis): boolean {
    const periodMs = Math.max(leastPeriodMs, this.o.history.state.nodes.size * periodPerNodeMs);
    return sentAt + periodMs <= this.o.clock.now();
  }

  private fresh(figure: Figure | undefined): Figure | undefined {
    return figure && figure.at + staleMs > this.o.clock.now() ? figure : undefined;
  }

  private digest(load: (node: NodeId) => number | undefined): LoadDigest {
    const { view } = this.o.history.state;
    return { view, levels: Uint8Array.from(this.ranked(), (n) => levelOf(load(n))) };
  }

  private take(digest: LoadDigest | undefined, into: Map<NodeId, Figure>): void {
    // Levels stand in the order of the nodes of a view; under another view they tell nothing.
    if (digest?.view !== this.o.history.state.view) return;
    const at = this.o.clock.now();
    for (const [i, node] of this.ranked().entries()) {
      const load = loadOf(digest.levels[i]);
      if (load !== undefined) into.set(node, { load, at });
    }
  }

  /** The nodes of the present view in the order of their names. */
  private ranked(): readonly NodeId[] {
    const { nodes, view } = this.o.history.state;
    if (view === this.orderView) return this.order;
    this.orderView = view;
    this.order = [...nodes.keys()].sort();
    for (const table of [this.below, this.above, this.sentDown]) forget(table, nodes);
    return this.order;
  }
}

function forget(table: Map<NodeId, unknown>, nodes: ReadonlyMap<NodeId, unknown>): void {
  for (const node of table.keys()) if (!nodes.has(node)) table.delete(node);
}

/** A load as one byte on a logarithmic scale; 0 stands for an unknown load. */
function levelOf(load: number | undefined): number {
  if (load === undefined) return 0;
  return Math.min(topLevel, 1 + Math.round(Math.log2(1 + load) * levelsPerDoubling));
}

function loadOf(level: number | undefined): number | undefined {
  return level ? 2 ** ((level - 1) / levelsPerDoubling) - 1 : undefined;
}

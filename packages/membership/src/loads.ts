/** The loads of all nodes, which follow calls carry up and down the fan-out tree as digests. */

import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { LoadDigest } from '@tanagercart/protocol';
import type { History } from './history.js';

/** Shortest interval between two digests on one link, in milliseconds. */
const minIntervalMs: Millis = 350;

/**
 * Interval between two digests per live node, in milliseconds. The interval grows with the number
 * of nodes, as the length of a digest does.
 */
const intervalPerNodeMs: Millis = 20;

/** Age at which the load of a node counts as unknown, in milliseconds. */
const staleMs: Millis = 10_000;

/** Levels for each doubling of the load. */
const levelsPerDoubling = 16;

/** The highest level, as a level takes one byte. */
const maxLevel = 255;

/** Dependencies and settings of `NodeLoads`. */
export interface NodeLoadsOptions {
  readonly self: NodeId;
  readonly history: History;
  readonly clock: Clock;
  /** Number of requests in progress on this node. */
  readonly ownLoad: () => number;
}

interface LoadSample {
  readonly load: number;
  readonly at: Millis;
}

/** The loads of all nodes as far as they are known to one of them. */
export class NodeLoads {
  private readonly fromChildren = new Map<NodeId, LoadSample>();
  private readonly fromParent = new Map<NodeId, LoadSample>();
  private readonly sentToChildAt = new Map<NodeId, Millis>();
  private sentToParentAt = -Infinity;
  private sorted: readonly NodeId[] = [];
  private sortedView = -1;

  private constructor(private readonly o: NodeLoadsOptions) {}

  static create(options: NodeLoadsOptions): NodeLoads {
    return new NodeLoads(options);
  }

  /** Number of requests in progress on a node; undefined where no recent value is known. */
  of(node: NodeId): number | undefined {
    if (node === this.o.self) return this.o.ownLoad();
    const reported = this.unlessStale(this.fromChildren.get(node));
    return (reported ?? this.unlessStale(this.fromParent.get(node)))?.load;
  }

  /** The digest for the parent: this node and the nodes below it; undefined until one is due. */
  digestForParent(): LoadDigest | undefined {
    if (!this.isDue(this.sentToParentAt)) return undefined;
    this.sentToParentAt = this.o.clock.now();
    return this.encode((n) =>
      n === this.o.self ? this.o.ownLoad() : this.unlessStale(this.fromChildren.get(n))?.load,
    );
  }

  /** The digest for a child: all nodes; undefined until one is due. */
  digestForChild(child: NodeId): LoadDigest | undefined {
    if (!this.isDue(this.sentToChildAt.get(child) ?? -Infinity)) return undefined;
    this.sentToChildAt.set(child, this.o.clock.now());
    return this.encode((n) => this.of(n));
  }

  /** Records the digest that a child sent. */
  recordFromChild(digest: LoadDigest | undefined): void {
    this.record(digest, this.fromChildren);
  }

  /** Records the digest that the parent sent. */
  recordFromParent(digest: LoadDigest | undefined): void {
    this.record(digest, this.fromParent);
  }

  private isDue(sentAt: Millis): boolean {
    const intervalMs = Math.max(minIntervalMs, this.o.history.state.nodes.size * intervalPerNodeMs);
    return sentAt + intervalMs <= this.o.clock.now();
  }

  private unlessStale(sample: LoadSample | undefined): LoadSample | undefined {
    return sample && sample.at + staleMs > this.o.clock.now() ? sample : undefined;
  }

  private encode(load: (node: NodeId) => number | undefined): LoadDigest {
    const { view } = this.o.history.state;
    return { view, levels: Uint8Array.from(this.sortedNodes(), (n) => encodeLevel(load(n))) };
  }

  private record(digest: LoadDigest | undefined, into: Map<NodeId, LoadSample>): void {
    // Levels are in the order of the nodes of a view and cannot be assigned under another view.
    if (digest?.view !== this.o.history.state.view) return;
    const at = this.o.clock.now();
    for (const [i, node] of this.sortedNodes().entries()) {
      const load = decodeLevel(digest.levels[i]);
      if (load !== undefined) into.set(node, { load, at });
    }
  }

  /** The nodes of the present view, sorted by name. */
  private sortedNodes(): readonly NodeId[] {
    const { nodes, view } = this.o.history.state;
    if (view === this.sortedView) return this.sorted;
    this.sortedView = view;
    this.sorted = [...nodes.keys()].sort();
    for (const map of [this.fromChildren, this.fromParent, this.sentToChildAt]) evict(map, nodes);
    return this.sorted;
  }
}

function evict(table: Map<NodeId, unknown>, nodes: ReadonlyMap<NodeId, unknown>): void {
  for (const node of table.keys()) if (!nodes.has(node)) table.delete(node);
}

/** Encodes a load as one byte on a logarithmic scale; 0 means that the load is unknown. */
function encodeLevel(load: number | undefined): number {
  if (load === undefined) return 0;
  return Math.min(maxLevel, 1 + Math.round(Math.log2(1 + load) * levelsPerDoubling));
}

function decodeLevel(level: number | undefined): number | undefined {
  return level ? 2 ** ((level - 1) / levelsPerDoubling) - 1 : undefined;
}

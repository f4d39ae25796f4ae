/** Which entries a caller is told to use, and when one that it uses is to be left. */

import { hash32 } from '@tanagercart/base';
import type { Clock, DataCentreId, Millis, NodeId } from '@tanagercart/base';
import { MoveLimiter } from './movelimiter.js';
import { NodeWeights } from './nodeweights.js';
import { shardOf } from './shard.js';

/** Entries that a caller is told of at most. */
const maxEntries = 3;

/** How long a caller may keep an answer, in milliseconds. */
const normalLifetimeMs: Millis = 30_000;

/** How long it may keep one while loads differ much, in milliseconds. */
const unevenLifetimeMs: Millis = 5000;

/** Load relative to the mean at which a node counts as loaded. */
const overloadRatio = 1.1;

/** Load relative to the mean at which answers live shorter. */
const unevenRatio = 1.25;

/** By how much a near node is preferred. */
const nearFactor = 2;

/** Requests in progress that do not count as load, so that few of them do not look like a swing. */
const baseLoad = 2;

/** A node that callers may reach. */
export interface EntryNode {
  readonly id: NodeId;
  readonly dataCentre: DataCentreId;
}

/** Who asks. */
export interface EntryCaller {
  readonly account: string;
  /** Share of the account in the weight of all accounts. */
  readonly share: number;
  /** Tells the callers of an account apart. */
  readonly name: string;
  /** Data centre that the caller says it is near to. */
  readonly near?: string | undefined;
  /** The entry that the caller uses now. */
  readonly currentEntry?: NodeId | undefined;
}

/** What a caller is told. */
export interface EntryRecommendation {
  /** Best first. */
  readonly entries: readonly NodeId[];
  readonly lifetimeMs: Millis;
}

/** What a guide reads. */
export interface EntryAdvisorOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  /** Nodes that take new work. */
  readonly nodes: () => readonly EntryNode[];
  /** Requests in progress on a node, as far as known. */
  readonly load: (node: NodeId) => number | undefined;
}

/** Tells callers where to go. */
export class EntryAdvisor {
  private readonly nodeWeights = NodeWeights.create();
  private readonly moveLimiter: MoveLimiter;

  private constructor(private readonly o: EntryAdvisorOptions) {
    this.moveLimiter = MoveLimiter.create(o.clock);
  }

  static create(options: EntryAdvisorOptions): EntryAdvisor {
    return new EntryAdvisor(options);
  }

  /** Entries for a caller that asks. */
  recommend(caller: EntryCaller): EntryRecommendation {
    const nodes = this.o.nodes();
    const relative = this.relativeLoads(nodes);
    const shard = shardNodes(caller, nodes);
    const weigh = (n: EntryNode) => this.weightOf(n, relative, caller);
    const ranked = rankNodes(caller, shard, weigh);
    const current = ranked.find(
      (n) => n === caller.currentEntry && (relative.get(n) ?? 1) < overloadRatio,
    );
    return recommendationOf(
      current ? [current, ...ranked.filter((n) => n !== current)] : ranked,
      relative,
    );
  }

  /** Entries for a caller that this node has answered and would rather see elsewhere, if so. */
  recommendMove(caller: EntryCaller): EntryRecommendation | undefined {
    const nodes = this.o.nodes();
    const relative = this.relativeLoads(nodes);
    const ownLoad = this.o.load(this.o.self) ?? 0;
    const ownRelativeLoad = relative.get(this.o.self) ?? 1;
    const excess = ownRelativeLoad < overloadRatio ? 0 : ownLoad * (1 - 1 / ownRelativeLoad);
    if (!this.moveLimiter.allowMove(caller.name, ownLoad, excess)) return undefined;
    const underloaded = shardNodes(caller, nodes).filter((n) => (relative.get(n.id) ?? 1) < 1);
    if (underloaded.length === 0) return undefined;
    return recommendationOf(
      rankNodes(caller, underloaded, (n) => 1 - (relative.get(n.id) ?? 1)),
      relative,
    );
  }

  private weightOf(
    node: EntryNode,
    relative: ReadonlyMap<NodeId, number>,
    caller: EntryCaller,
  ): number {
    const load = relative.get(node.id) ?? 1;
    const weight = this.nodeWeights.weight(node.id, load);
    return node.dataCentre === caller.near && load < overloadRatio ? weight * nearFactor : weight;
  }

  /** The load of each node relative to the mean of those that are known. */
  private relativeLoads(nodes: readonly EntryNode[]): ReadonlyMap<NodeId, number> {
    this.nodeWeights.retain(new Set(nodes.map((n) => n.id)));
    const known = nodes.flatMap(({ id }) => {
      const load = this.o.load(id);
      return load === undefined ? [] : [{ id, load: load + baseLoad }];
    });
    const mean = known.reduce((sum, k) => sum + k.load, 0) / Math.max(1, known.length);
    return new Map(known.map((k) => [k.id, k.load / mean]));
  }
}

/** The nodes among which a caller is sent. */
function shardNodes(caller: EntryCaller, nodes: readonly EntryNode[]): readonly EntryNode[] {
  const ids = nodes.map((n) => n.id);
  const members = new Set(shardOf(caller.account, caller.share, ids));
  return nodes.filter((n) => members.has(n.id));
}

function recommendationOf(
  ranked: readonly NodeId[],
  relative: ReadonlyMap<NodeId, number>,
): EntryRecommendation {
  const uneven = Math.max(0, ...relative.values()) > unevenRatio;
  const lifetimeMs = uneven ? unevenLifetimeMs : normalLifetimeMs;
  return { entries: ranked.slice(0, maxEntries), lifetimeMs };
}

/** Weighted rendezvous hashing: when a weight changes, only callers of that node move. */
function rankNodes(
  caller: EntryCaller,
  nodes: readonly EntryNode[],
  weigh: (node: EntryNode) => number,
): readonly NodeId[] {
  return nodes
    .map((n) => ({
      id: n.id,
      score: scoreOf(`${caller.account}|${caller.name}|${n.id}`, weigh(n)),
    }))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map((n) => n.id);
}

function scoreOf(key: string, weight: number): number {
  const uniform = (hash32(key) + 0.5) / 2 ** 32;
  return weight / -Math.log(uniform);
}

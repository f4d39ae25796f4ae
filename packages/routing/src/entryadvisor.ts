/**
 * Recommends entries to callers, and tells callers of an overloaded node where to move. Each
 * account is confined to a shard of the nodes. Within the shard, callers are placed by weighted
 * rendezvous hashing, so that few of them move when loads change or nodes come and go.
 */

import { hash32 } from '@tanagercart/base';
import type { Clock, DataCentreId, Millis, NodeId } from '@tanagercart/base';
import { MoveLimiter } from './movelimiter.js';
import { NodeWeights } from './nodeweights.js';
import { shardOf } from './shard.js';

/** Most entries in a recommendation. */
const maxEntries = 3;

/** How long a caller may use a recommendation, in milliseconds. */
const normalLifetimeMs: Millis = 30_000;

/** The same while loads are uneven, in milliseconds, so that callers ask again sooner. */
const unevenLifetimeMs: Millis = 5000;

/** Load relative to the mean from which a node counts as overloaded. */
const overloadRatio = 1.1;

/** Load of any node relative to the mean above which loads count as uneven. */
const unevenRatio = 1.25;

/** Factor on the weight of a node in the data centre that the caller is near to. */
const nearFactor = 2;

/**
 * Requests added to every node's load, so that on idle nodes a few requests change ratios little.
 */
const baseLoad = 2;

/** A node that callers can use as their entry. */
export interface EntryNode {
  readonly id: NodeId;
  readonly dataCentre: DataCentreId;
}

/** A caller that needs an entry. */
export interface EntryCaller {
  readonly account: string;
  /** Share of the account in the weight of all accounts. */
  readonly share: number;
  /** Identifies the caller among those of its account. */
  readonly name: string;
  /** Data centre that the caller says it is near to. */
  readonly near?: string | undefined;
  /** The entry that the caller uses now. */
  readonly currentEntry?: NodeId | undefined;
}

/** The entries that a caller should use. */
export interface EntryRecommendation {
  /** At most `maxEntries`, the best first. */
  readonly entries: readonly NodeId[];
  /** Time after which the caller should ask again. */
  readonly lifetimeMs: Millis;
}

/** What an entry advisor needs to know about the nodes. */
export interface EntryAdvisorOptions {
  readonly self: NodeId;
  readonly clock: Clock;
  /** Nodes that accept new requests. */
  readonly nodes: () => readonly EntryNode[];
  /** Requests in progress on a node; undefined if unknown. */
  readonly load: (node: NodeId) => number | undefined;
}

/** Recommends entries from the loads that this node has last seen of the others. */
export class EntryAdvisor {
  private readonly nodeWeights = NodeWeights.create();
  private readonly moveLimiter: MoveLimiter;

  private constructor(private readonly o: EntryAdvisorOptions) {
    this.moveLimiter = MoveLimiter.create(o.clock);
  }

  static create(options: EntryAdvisorOptions): EntryAdvisor {
    return new EntryAdvisor(options);
  }

  /**
   * Entries for a caller that asks. Its current entry comes first unless that is overloaded, or is
   * not in the account's shard.
   */
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

  /**
   * Entries to which the caller of an answered request should move because this node is overloaded.
   * Returns undefined if the caller should stay, or if no node of its shard is below the mean load.
   * Call it once per request, as it also counts the requests of each caller.
   */
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

  /** Weight of a node for a caller; a near node is preferred unless it is overloaded. */
  private weightOf(
    node: EntryNode,
    relative: ReadonlyMap<NodeId, number>,
    caller: EntryCaller,
  ): number {
    const load = relative.get(node.id) ?? 1;
    const weight = this.nodeWeights.weight(node.id, load);
    return node.dataCentre === caller.near && load < overloadRatio ? weight * nearFactor : weight;
  }

  /** The load of each node whose load is known, relative to the mean of these nodes. */
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

/** The nodes of the shard of the caller's account. */
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

/**
 * Ranks nodes by weighted rendezvous hashing: when a node's weight changes, only callers that move
 * from or to this node are affected.
 */
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

/** Score of a node for a caller; the chance of the highest score is proportional to the weight. */
function scoreOf(key: string, weight: number): number {
  const uniform = (hash32(key) + 0.5) / 2 ** 32;
  return weight / -Math.log(uniform);
}

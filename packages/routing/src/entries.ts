/** Which entries a caller is told to use, and when one that it uses is to be left. */

import { hash32 } from '@tanagercart/base';
import type { Clock, DataCentreId, Millis, NodeId } from '@tanagercart/base';
import { Moves } from './moves.js';
import { RoomWeights } from './roomweight.js';
import { shardOf } from './shard.js';

/** Entries that a caller is told of at most. */
const entriesTold = 3;

/** How long a caller may keep an answer, in milliseconds. */
const calmLifetimeMs: Millis = 30_000;

/** How long it may keep one while loads differ much, in milliseconds. */
const stressLifetimeMs: Millis = 5000;

/** Load relative to the mean at which a node counts as loaded. */
const loadedAt = 1.1;

/** Load relative to the mean at which answers live shorter. */
const stressAt = 1.25;

/** By how much a near node is preferred. */
const nearFactor = 2;

/** Requests in progress that do not count as load, so that few of them do not look like a swing. */
const idleLoad = 2;

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
  private readonly weights = RoomWeights.create();
  private readonly moves: Moves;

  private constructor(private readonly o: EntryAdvisorOptions) {
    this.moves = Moves.create(o.clock);
  }

  static create(options: EntryAdvisorOptions): EntryAdvisor {
    return new EntryAdvisor(options);
  }

  /** Entries for a caller that asks. */
  recommend(caller: EntryCaller): EntryRecommendation {
    const nodes = this.o.nodes();
    const relative = this.relativeLoads(nodes);
    const shard = nodesFor(caller, nodes);
    const weigh = (n: EntryNode) => this.weightOf(n, relative, caller);
    const ranked = rank(caller, shard, weigh);
    const stays = ranked.find(
      (n) => n === caller.currentEntry && (relative.get(n) ?? 1) < loadedAt,
    );
    return told(stays ? [stays, ...ranked.filter((n) => n !== stays)] : ranked, relative);
  }

  /** Entries for a caller that this node has answered and would rather see elsewhere, if so. */
  recommendMove(caller: EntryCaller): EntryRecommendation | undefined {
    const nodes = this.o.nodes();
    const relative = this.relativeLoads(nodes);
    const own = this.o.load(this.o.self) ?? 0;
    const mine = relative.get(this.o.self) ?? 1;
    const excess = mine < loadedAt ? 0 : own * (1 - 1 / mine);
    if (!this.moves.mayMove(caller.name, own, excess)) return undefined;
    const roomy = nodesFor(caller, nodes).filter((n) => (relative.get(n.id) ?? 1) < 1);
    if (roomy.length === 0) return undefined;
    return told(
      rank(caller, roomy, (n) => 1 - (relative.get(n.id) ?? 1)),
      relative,
    );
  }

  private weightOf(
    node: EntryNode,
    relative: ReadonlyMap<NodeId, number>,
    caller: EntryCaller,
  ): number {
    const load = relative.get(node.id) ?? 1;
    const room = this.weights.weight(node.id, load);
    return node.dataCentre === caller.near && load < loadedAt ? room * nearFactor : room;
  }

  /** The load of each node relative to the mean of those that are known. */
  private relativeLoads(nodes: readonly EntryNode[]): ReadonlyMap<NodeId, number> {
    this.weights.keepOnly(new Set(nodes.map((n) => n.id)));
    const known = nodes.flatMap(({ id }) => {
      const load = this.o.load(id);
      return load === undefined ? [] : [{ id, load: load + idleLoad }];
    });
    const mean = known.reduce((sum, k) => sum + k.load, 0) / Math.max(1, known.length);
    return new Map(known.map((k) => [k.id, k.load / mean]));
  }
}

/** The nodes among which a caller is sent. */
function nodesFor(caller: EntryCaller, nodes: readonly EntryNode[]): readonly EntryNode[] {
  const ids = nodes.map((n) => n.id);
  const members = new Set(shardOf(caller.account, caller.share, ids));
  return nodes.filter((n) => members.has(n.id));
}

function told(
  ranked: readonly NodeId[],
  relative: ReadonlyMap<NodeId, number>,
): EntryRecommendation {
  const stress = Math.max(0, ...relative.values()) > stressAt;
  const lifetimeMs = stress ? stressLifetimeMs : calmLifetimeMs;
  return { entries: ranked.slice(0, entriesTold), lifetimeMs };
}

/** Weighted rendezvous hashing: when a weight changes, only callers of that node move. */
function rank(
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

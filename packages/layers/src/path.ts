/**
 * Finds the path with the lowest cost for a request over the ranges that stages hold now. Used
 * when stages fail or are moved to other layers: a segment may be any part of a stage's range, so
 * the stages left over from several broken pipelines can still be combined into complete paths,
 * and a path crosses to another data centre only where that is faster.
 */

import type { DataCentreId, Millis, Random, UpstreamId } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import {
  activationTransferMs,
  hasRoom,
  hasRoomAt,
  hopDelayMs,
  remoteEntryCostMs,
  segmentCostMs,
} from './cost.js';
import type { RequestSize } from './cost.js';
import type { Path, PathSegment, Stage } from './stage.js';

/** A request to route, and the stages that are available to it. */
export interface PathQuery {
  readonly engine: Engine;
  readonly stages: readonly Stage[];
  readonly size: RequestSize;
  /** The data centre from which the request is sent to its first stage. */
  readonly dataCentre: DataCentreId;
  /** If set, only these stages may be the first, even if all their slots are taken. */
  readonly firstStageIds?: ReadonlySet<UpstreamId>;
  /**
   * Time until the link between data centres has transferred what waits for it; `Infinity` where no
   * path may cross it. 0 if not given.
   */
  readonly linkQueueMs?: Millis;
  /** Adds jitter to costs, so that nodes which choose at the same time don't all pick one stage. */
  readonly random: Random;
}

/** Most segments of a path that an engine accepts. */
const maxSegments = 32;

/** Most jitter on the cost of a stage, as a share of that cost. */
const costJitter = 0.05;

/** Most searches for one request; another one is needed when a path returns to an earlier stage. */
const maxSearches = 4;

/** The cheapest known way to run the layers before some boundary, as a list linked backwards. */
interface PartialPath {
  readonly costMs: number;
  readonly segmentCount: number;
  readonly option: StageOption;
  readonly from: number;
  readonly to: number;
  readonly previous: PartialPath | undefined;
}

/** A stage with the jitter factor that applies to its cost in this query. */
interface StageOption {
  readonly stage: Stage;
  readonly costFactor: number;
  /** Number of its data centre; see `Hops`. */
  readonly centre: number;
}

/** A stage that can run the layers from some boundary on. */
interface Extension {
  readonly option: StageOption;
  /** Cost of running them up to each of the next boundaries that the stage holds, in order. */
  readonly costsMs: readonly number[];
}

/** What hops cost in this query. Data centres have numbers, as hops are looked up very often. */
interface Hops {
  /** Number of the data centre from which the request is sent. */
  readonly origin: number;
  /** Delay of a hop, by the numbers of its sender and its receiver. */
  readonly delaysMs: readonly (readonly number[])[];
  /** What a hop between two stages costs in addition if it crosses; infinite where none may. */
  readonly transferMs: number;
}

/** The ways to one boundary, of which the cheapest is kept for each data centre. */
interface Arrivals {
  /** By the number of the data centre of the last stage. */
  readonly cheapest: (PartialPath | undefined)[];
  /** These numbers, in the order in which the data centres were first reached. */
  readonly centres: number[];
}

/** A query, and which stages may serve it. */
interface StagedQuery extends PathQuery {
  /** Whether only stages with memory left for the request may. */
  readonly needsRoom: boolean;
}

/**
 * The complete path with the lowest cost. It leads over a stage whose memory is full only where no
 * other path was found: a stage of a slow kind costs more than `fullMemoryCostMs` for a long answer.
 * Returns undefined if there is none, or if each of `maxSearches` searches found a path that returns
 * to an earlier stage.
 */
export function findPath(query: PathQuery): Path | undefined {
  const centres = [...new Set([query.dataCentre, ...query.stages.map((s) => s.dataCentre)])];
  const numbers = new Map(centres.map((centre, i) => [centre, i]));
  const hops = hopsBetween(query, centres);
  const options = query.stages.map((stage): StageOption => ({
    stage,
    costFactor: randomCostFactor(query),
    centre: numbers.get(stage.dataCentre)!,
  }));
  const path = findSimplePath({ ...query, needsRoom: false }, hops, options);
  if (!path || hasRoom(path, query.size)) return path;
  return findSimplePath({ ...query, needsRoom: true }, hops, options) ?? path;
}

/** The cheapest path that `maxSearches` searches found without one that returns to an earlier stage. */
function findSimplePath(
  query: StagedQuery,
  hops: Hops,
  initialOptions: readonly StageOption[],
): Path | undefined {
  let options = initialOptions;
  for (let searches = 0; searches < maxSearches; searches += 1) {
    const path = search(query, hops, options);
    if (!path) return undefined;
    const repeated = path.find((p, i) => path.findIndex((o) => o.stage.id === p.stage.id) < i);
    if (!repeated) return path;
    // A path may use a stage once: the next search offers it only for its first segment here.
    const { id } = repeated.stage;
    const kept = path.find((p) => p.stage.id === id)!.layers;
    options = options.map((o) =>
      o.stage.id === id ? { ...o, stage: { ...o.stage, layers: kept } } : o,
    );
  }
  return undefined;
}

function randomCostFactor(query: PathQuery): number {
  return 1 + costJitter * query.random.next();
}

/** Hops between data centres, the first of which sends the request. */
function hopsBetween(
  { engine, size, linkQueueMs = 0 }: PathQuery,
  centres: readonly DataCentreId[],
): Hops {
  return {
    origin: 0,
    delaysMs: centres.map((from) => centres.map((to) => hopDelayMs(engine, from, to, size))),
    transferMs: activationTransferMs(engine, size, linkQueueMs),
  };
}

/**
 * Shortest-path search by dynamic programming. A state is a boundary, that is a layer at which some
 * range begins or ends, together with the data centre of the stage that ran the layer before it.
 */
function search(query: StagedQuery, hops: Hops, options: readonly StageOption[]): Path | undefined {
  const { layerCount } = query.engine;
  const boundaries = rangeBoundaries(options, layerCount);
  const arrivals = boundaries.map((): Arrivals => ({ cheapest: [], centres: [] }));
  for (const [at, boundary] of boundaries.entries()) {
    const partials = boundary === 0 ? [undefined] : waysTo(arrivals[at]!);
    if (boundary === layerCount || partials.length === 0) continue;
    const usable = options.filter((o) => canRunFrom(query, o.stage, boundary));
    // What a segment costs does not depend on the segments before it.
    const extensions = usable.map((o) => extensionOf(query, boundaries, o, at));
    for (const previous of partials) {
      if (previous && previous.segmentCount >= maxSegments) continue;
      for (const extension of extensions) {
        const startMs = startCostMs(hops, previous, extension.option);
        if (startMs !== undefined) extend(boundaries, arrivals, previous, extension, at, startMs);
      }
    }
  }
  const complete = [...waysTo(arrivals[boundaries.indexOf(layerCount)]!)].sort(
    (a, b) => a.costMs - b.costMs,
  );
  return complete[0] ? pathOf(complete[0]) : undefined;
}

/** The layers at which some range begins or ends, in ascending order. */
function rangeBoundaries(options: readonly StageOption[], layerCount: number): readonly number[] {
  const boundaries = new Set([0, layerCount]);
  for (const { stage } of options) boundaries.add(stage.layers.from).add(stage.layers.to);
  return [...boundaries].sort((a, b) => a - b);
}

function waysTo({ cheapest, centres }: Arrivals): readonly PartialPath[] {
  return centres.map((centre) => cheapest[centre]!);
}

/** Whether a segment on `stage` may start at layer `from`. */
function canRunFrom(query: PathQuery, stage: Stage, from: number): boolean {
  if (stage.layers.from > from || stage.layers.to <= from) return false;
  if (from > 0) return true;
  if (stage.entryWaitMs === Infinity) return false;
  if (query.firstStageIds) return query.firstStageIds.has(stage.id);
  return stage.entered < query.engine.slots;
}

/** The segments of a stage from the boundary at index `at` on. */
function extensionOf(
  { engine, size, needsRoom }: StagedQuery,
  boundaries: readonly number[],
  option: StageOption,
  at: number,
): Extension {
  const { stage, costFactor } = option;
  const from = boundaries[at]!;
  const costsMs: number[] = [];
  for (let i = at + 1; i < boundaries.length && boundaries[i]! <= stage.layers.to; i += 1) {
    const layers = { from, to: boundaries[i]! };
    if (needsRoom && !hasRoomAt(stage, layers, size)) break;
    costsMs.push(segmentCostMs(engine, stage, layers, size) * costFactor);
  }
  return { option, costsMs };
}

/**
 * Cost until a stage begins to run, after `previous`; undefined if that ends at the same stage, or in
 * another data centre where no path may cross.
 */
function startCostMs(
  { origin, delaysMs, transferMs }: Hops,
  previous: PartialPath | undefined,
  { stage, centre }: StageOption,
): number | undefined {
  if (previous?.option.stage.id === stage.id) return undefined;
  const sender = previous?.option.centre ?? origin;
  const delayMs = delaysMs[sender]![centre]!;
  // Only stages transfer activations; the request that the first stage receives is small.
  const crossingMs = previous ? transferMs : remoteEntryCostMs;
  const crosses = sender !== centre;
  if (crosses && crossingMs === Infinity) return undefined;
  return (previous?.costMs ?? stage.entryWaitMs) + delayMs + (crosses ? crossingMs : 0);
}

/** Extends `previous` by every segment of `extension`; keeps the cheapest. */
function extend(
  boundaries: readonly number[],
  arrivals: readonly Arrivals[],
  previous: PartialPath | undefined,
  { option, costsMs }: Extension,
  at: number,
  startMs: number,
): void {
  const { centre } = option;
  for (let i = 0; i < costsMs.length; i += 1) {
    const costMs = startMs + costsMs[i]!;
    const { cheapest, centres } = arrivals[at + 1 + i]!;
    const best = cheapest[centre];
    if (best && best.costMs <= costMs) continue;
    if (!best) centres.push(centre);
    cheapest[centre] = {
      costMs,
      segmentCount: (previous?.segmentCount ?? 0) + 1,
      option,
      from: boundaries[at]!,
      to: boundaries[at + 1 + i]!,
      previous,
    };
  }
}

function pathOf(last: PartialPath): Path {
  const segments: PathSegment[] = [];
  for (let at: PartialPath | undefined = last; at; at = at.previous) {
    segments.unshift({ stage: at.option.stage, layers: { from: at.from, to: at.to } });
  }
  return segments;
}

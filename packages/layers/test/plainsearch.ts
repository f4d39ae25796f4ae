/**
 * The search for a path as it follows from its definition, which works out the cost of each segment
 * anew for each way to it. The search that is used has to find the same paths.
 */

import type { DataCentreId } from '@tanagercart/base';
import {
  activationTransferMs,
  hasRoom,
  hasRoomAt,
  hopDelayMs,
  remoteEntryCostMs,
  segmentCostMs,
} from '../src/cost.js';
import type { Path, PathQuery, PathSegment, Stage } from '../src/index.js';

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
  readonly segment: PathSegment;
  readonly previous: PartialPath | undefined;
}

/** A stage with the jitter factor that applies to its cost in this query. */
interface StageOption {
  readonly stage: Stage;
  readonly costFactor: number;
}

/**
 * The path that `findPath` has to find. Returns undefined if there is none, or if each of
 * `maxSearches` searches found a path that returns to an earlier stage.
 */
export function findPathPlainly(query: PathQuery): Path | undefined {
  const options = query.stages.map((stage): StageOption => ({
    stage,
    costFactor: randomCostFactor(query),
  }));
  const path = findSimplePath(query, options, false);
  if (!path || hasRoom(path, query.size)) return path;
  return findSimplePath(query, options, true) ?? path;
}

function findSimplePath(
  query: PathQuery,
  initialOptions: readonly StageOption[],
  needsRoom: boolean,
): Path | undefined {
  let options = initialOptions;
  for (let searches = 0; searches < maxSearches; searches += 1) {
    const path = search(query, options, needsRoom);
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

/**
 * Shortest-path search by dynamic programming. A state is a boundary, that is a layer at which some
 * range begins or ends, together with the data centre of the stage that ran the layer before it.
 */
function search(
  query: PathQuery,
  options: readonly StageOption[],
  needsRoom: boolean,
): Path | undefined {
  const { layerCount } = query.engine;
  const boundaries = rangeBoundaries(options, layerCount);
  const reached = new Map<number, Map<DataCentreId, PartialPath>>();
  for (const boundary of boundaries) {
    const partials = boundary === 0 ? [undefined] : [...(reached.get(boundary)?.values() ?? [])];
    if (boundary === layerCount || partials.length === 0) continue;
    const usable = options.filter((o) => canRunFrom(query, o.stage, boundary));
    for (const previous of partials) {
      if (previous && previous.segmentCount >= maxSegments) continue;
      for (const option of usable) {
        extend(query, boundaries, reached, previous, option, boundary, needsRoom);
      }
    }
  }
  const complete = [...(reached.get(layerCount)?.values() ?? [])].sort(
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

/** Whether a segment on `stage` may start at layer `from`. */
function canRunFrom(query: PathQuery, stage: Stage, from: number): boolean {
  if (stage.layers.from > from || stage.layers.to <= from) return false;
  if (from > 0) return true;
  if (stage.entryWaitMs === Infinity) return false;
  if (query.firstStageIds) return query.firstStageIds.has(stage.id);
  return stage.entered < query.engine.slots;
}

/** Extends `previous` by every segment of `option` that starts at `from`; keeps the cheapest. */
function extend(
  query: PathQuery,
  boundaries: readonly number[],
  reached: Map<number, Map<DataCentreId, PartialPath>>,
  previous: PartialPath | undefined,
  option: StageOption,
  from: number,
  needsRoom: boolean,
): void {
  const { stage, costFactor } = option;
  if (previous?.segment.stage.id === stage.id) return;
  const { engine, size } = query;
  const sender = previous?.segment.stage.dataCentre ?? query.dataCentre;
  const delayMs = hopDelayMs(engine, sender, stage.dataCentre, size);
  // Only stages transfer activations; the request that the first stage receives is small.
  const crossingMs = previous
    ? activationTransferMs(engine, size, query.linkQueueMs ?? 0)
    : remoteEntryCostMs;
  const crosses = sender !== stage.dataCentre;
  if (crosses && crossingMs === Infinity) return;
  const startMs = (previous?.costMs ?? stage.entryWaitMs) + delayMs + (crosses ? crossingMs : 0);
  for (const to of boundaries) {
    if (to <= from) continue;
    if (to > stage.layers.to) break;
    const layers = { from, to };
    if (needsRoom && !hasRoomAt(stage, layers, size)) break;
    const costMs = startMs + segmentCostMs(engine, stage, layers, size) * costFactor;
    const byDataCentre = reached.get(to) ?? new Map<DataCentreId, PartialPath>();
    reached.set(to, byDataCentre);
    const best = byDataCentre.get(stage.dataCentre);
    if (best && best.costMs <= costMs) continue;
    const segmentCount = (previous?.segmentCount ?? 0) + 1;
    byDataCentre.set(stage.dataCentre, {
      costMs,
      segmentCount,
      segment: { stage, layers },
      previous,
    });
  }
}

function pathOf(last: PartialPath): Path {
  const segments: PathSegment[] = [];
  for (let at: PartialPath | undefined = last; at; at = at.previous) segments.unshift(at.segment);
  return segments;
}

/**
 * Finds the fastest path for a request over the ranges that stages hold now. Answers the load of
 * failing and moving stages: any part of a range may be used, so that what is left of several
 * chains still makes whole paths, and data centres are crossed only where that is faster.
 */

import type { DataCentreId, Random, UpstreamId } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import { activationTransferMs, hopDelayMs, remoteEntryCostMs, segmentCostMs } from './cost.js';
import type { RequestSize } from './cost.js';
import type { Path, PathSegment, Stage } from './stage.js';

/** What a path is searched for. */
export interface PathQuery {
  readonly engine: Engine;
  readonly stages: readonly Stage[];
  readonly size: RequestSize;
  /** Where the request enters. */
  readonly dataCentre: DataCentreId;
  /** Stages that may be the first, where it matters. */
  readonly firstStageIds?: ReadonlySet<UpstreamId>;
  /** Spreads equal paths, so that nodes that choose at the same time do not crowd one stage. */
  readonly random: Random;
}

/** Most parts that an engine accepts. */
const maxParts = 32;

/** Share by which the cost of a stage is varied at random. */
const spread = 0.05;

/** Searches again where a path came back to a stage that it had left. */
const maxSearches = 4;

interface Reached {
  readonly ms: number;
  readonly parts: number;
  readonly part: PathSegment;
  readonly before: Reached | undefined;
}

interface Option {
  readonly stage: Stage;
  readonly factor: number;
}

/** The fastest whole path; undefined where some layer is not held. */
export function findPath(query: PathQuery): Path | undefined {
  let options = query.stages.map((stage): Option => ({ stage, factor: factorOf(query) }));
  for (let tries = 0; tries < maxSearches; tries += 1) {
    const path = search(query, options);
    if (!path) return undefined;
    const repeated = path.find((p, i) => path.findIndex((o) => o.stage.id === p.stage.id) < i);
    if (!repeated) return path;
    const { id } = repeated.stage;
    const kept = path.find((p) => p.stage.id === id)!.layers;
    options = options.map((o) =>
      o.stage.id === id ? { ...o, stage: { ...o.stage, layers: kept } } : o,
    );
  }
  return undefined;
}

function factorOf(query: PathQuery): number {
  return 1 + spread * query.random.next();
}

/** Shortest path over the points at which a range begins or ends, and the data centre there. */
function search(query: PathQuery, options: readonly Option[]): Path | undefined {
  const { layerCount } = query.engine;
  const points = pointsOf(options, layerCount);
  const reached = new Map<number, Map<DataCentreId, Reached>>();
  for (const point of points) {
    const here = point === 0 ? [undefined] : [...(reached.get(point)?.values() ?? [])];
    if (point === layerCount || here.length === 0) continue;
    const covering = options.filter((o) => canTake(query, o.stage, point));
    for (const before of here) {
      if (before && before.parts >= maxParts) continue;
      for (const option of covering) extend(query, points, reached, before, option, point);
    }
  }
  const ends = [...(reached.get(layerCount)?.values() ?? [])].sort((a, b) => a.ms - b.ms);
  return ends[0] ? partsOf(ends[0]) : undefined;
}

function pointsOf(options: readonly Option[], layerCount: number): readonly number[] {
  const points = new Set([0, layerCount]);
  for (const { stage } of options) points.add(stage.layers.from).add(stage.layers.to);
  return [...points].sort((a, b) => a - b);
}

function canTake(query: PathQuery, stage: Stage, point: number): boolean {
  if (stage.layers.from > point || stage.layers.to <= point) return false;
  if (point > 0) return true;
  if (query.firstStageIds) return query.firstStageIds.has(stage.id);
  return stage.entered < query.engine.slots;
}

function extend(
  query: PathQuery,
  points: readonly number[],
  reached: Map<number, Map<DataCentreId, Reached>>,
  before: Reached | undefined,
  option: Option,
  from: number,
): void {
  const { stage, factor } = option;
  if (before?.part.stage.id === stage.id) return;
  const { engine, size: work } = query;
  const last = before?.part.stage.dataCentre ?? query.dataCentre;
  const delayMs = hopDelayMs(engine, last, stage.dataCentre, work);
  // Only stages pass on what they made of the prompt; the request itself is small.
  const crossingMs = before ? activationTransferMs(engine, work) : remoteEntryCostMs;
  const crosses = last !== stage.dataCentre;
  const startMs = (before?.ms ?? 0) + delayMs + (crosses ? crossingMs : 0);
  for (const to of points) {
    if (to <= from) continue;
    if (to > stage.layers.to) break;
    const layers = { from, to };
    const ms = startMs + segmentCostMs(engine, stage, layers, work) * factor;
    const at = reached.get(to) ?? new Map<DataCentreId, Reached>();
    reached.set(to, at);
    const known = at.get(stage.dataCentre);
    if (known && known.ms <= ms) continue;
    const parts = (before?.parts ?? 0) + 1;
    at.set(stage.dataCentre, { ms, parts, part: { stage, layers }, before });
  }
}

function partsOf(end: Reached): Path {
  const parts: PathSegment[] = [];
  for (let at: Reached | undefined = end; at; at = at.before) parts.unshift(at.part);
  return parts;
}

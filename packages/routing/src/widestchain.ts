/**
 * Finds the chain of stages with the highest throughput: a widest-path search over layer
 * boundaries, by dynamic programming.
 */

import type { Millis } from '@tanagercart/base';
import type { Model } from '@tanagercart/release';
import type { UpstreamStage } from './plan.js';
import type { LinkBudget } from './links.js';

/** A chain or the beginning of one, as a list linked backwards. */
interface Path {
  readonly last: UpstreamStage;
  readonly previous: Path | undefined;
  /** Throughput of its narrowest stage or link. */
  readonly width: number;
  readonly latencyMs: Millis;
}

/** Relative difference up to which two throughputs count as equal, so that latency decides. */
const equalWidthTolerance = 0.02;

/**
 * The chain of highest throughput that holds every layer exactly once, with a total link latency of
 * at most `latencyMs`. Of chains with about equal throughput it is the one of lowest latency.
 * `free` must be sorted by `byLayer`. Returns undefined if no chain is complete.
 */
export function widestChain(
  model: Model,
  free: Iterable<UpstreamStage>,
  links: LinkBudget,
  latencyMs: Millis,
): readonly UpstreamStage[] | undefined {
  /** Best paths so far, by end layer and data centre. */
  const ends = new Map<number, Map<string, Path>>();
  let best: Path | undefined;
  for (const stage of free) {
    const path = bestPathTo(stage, ends, links);
    if (!path || path.width <= 0 || path.latencyMs > latencyMs || stage.stage.to > model.layers) {
      continue;
    }
    if (stage.stage.to === model.layers) best = better(best, path);
    else recordBest(ends, path);
  }
  return best && stagesOfPath(best);
}

/**
 * Keeps the best path for each end layer and data centre. The stages that can follow a path, and
 * their links, depend on nothing else.
 */
function recordBest(ends: Map<number, Map<string, Path>>, path: Path): void {
  const { stage, upstream } = path.last;
  const byDataCentre = ends.get(stage.to) ?? new Map<string, Path>();
  byDataCentre.set(upstream.dataCentre, better(byDataCentre.get(upstream.dataCentre), path));
  ends.set(stage.to, byDataCentre);
}

/** The best path that ends with `stage`; undefined if none reaches its first layer. */
function bestPathTo(
  stage: UpstreamStage,
  ends: ReadonlyMap<number, ReadonlyMap<string, Path>>,
  links: LinkBudget,
): Path | undefined {
  const width = stage.stage.tokensPerSecond;
  if (stage.stage.from === 0) return { last: stage, previous: undefined, width, latencyMs: 0 };
  let best: Path | undefined;
  for (const previous of ends.get(stage.stage.from)?.values() ?? []) {
    const link = links.between(previous.last.upstream.dataCentre, stage.upstream.dataCentre);
    best = better(best, {
      last: stage,
      previous,
      width: Math.min(width, previous.width, link.tokensPerSecond),
      latencyMs: previous.latencyMs + link.latencyMs,
    });
  }
  return best;
}

/**
 * The path of higher throughput. If both are about equal it is the one of lower latency, and then
 * the one whose stages have less unused throughput.
 */
function better(a: Path | undefined, b: Path): Path {
  if (!a) return b;
  if (Math.abs(a.width - b.width) > equalWidthTolerance * Math.max(a.width, b.width)) {
    return b.width > a.width ? b : a;
  }
  if (a.latencyMs !== b.latencyMs) return b.latencyMs < a.latencyMs ? b : a;
  return unusedThroughput(b) < unusedThroughput(a) ? b : a;
}

/** Throughput of the stages that the narrowest part of the path leaves unused, summed up. */
function unusedThroughput(path: Path): number {
  let unused = 0;
  for (let p: Path | undefined = path; p; p = p.previous) {
    unused += p.last.stage.tokensPerSecond - path.width;
  }
  return unused;
}

function stagesOfPath(path: Path): readonly UpstreamStage[] {
  const out: UpstreamStage[] = [];
  for (let p: Path | undefined = path; p; p = p.previous) out.unshift(p.last);
  return out;
}

/** Orders stages by their first layer. */
export function byLayer(a: UpstreamStage, b: UpstreamStage): number {
  return a.stage.from - b.stage.from || (a.upstream.id < b.upstream.id ? -1 : 1);
}

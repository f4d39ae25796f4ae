/** Finds the chain of greatest throughput among free stages. */

import type { Millis } from '@tanagercart/base';
import type { Model } from '@tanagercart/release';
import type { UpstreamStage } from './chain.js';
import type { LinkBudget } from './links.js';

/** A chain, or its beginning. */
interface Path {
  readonly last: UpstreamStage;
  readonly before: Path | undefined;
  /** Throughput of its narrowest stage or link. */
  readonly width: number;
  readonly latencyMs: Millis;
}

/** Relative difference below which two throughputs count as equal. */
const evenShare = 0.02;

/**
 * The widest chain that holds every layer once within `latencyMs`; of equals the nearest. `free` is
 * in the order of `byLayer`.
 */
export function widestChain(
  model: Model,
  free: Iterable<UpstreamStage>,
  links: LinkBudget,
  latencyMs: Millis,
): readonly UpstreamStage[] | undefined {
  const ends = new Map<number, Map<string, Path>>();
  let best: Path | undefined;
  for (const stage of free) {
    const path = bestTo(stage, ends, links);
    if (!path || path.width <= 0 || path.latencyMs > latencyMs || stage.stage.to > model.layers) {
      continue;
    }
    if (stage.stage.to === model.layers) best = better(best, path);
    else keepBest(ends, path);
  }
  return best && stagesOf(best);
}

/** Keeps one path for each layer and data centre: what follows depends on nothing else. */
function keepBest(ends: Map<number, Map<string, Path>>, path: Path): void {
  const { stage, upstream } = path.last;
  const there = ends.get(stage.to) ?? new Map<string, Path>();
  there.set(upstream.dataCentre, better(there.get(upstream.dataCentre), path));
  ends.set(stage.to, there);
}

function bestTo(
  stage: UpstreamStage,
  ends: ReadonlyMap<number, ReadonlyMap<string, Path>>,
  links: LinkBudget,
): Path | undefined {
  const width = stage.stage.tokensPerSecond;
  if (stage.stage.from === 0) return { last: stage, before: undefined, width, latencyMs: 0 };
  let best: Path | undefined;
  for (const before of ends.get(stage.stage.from)?.values() ?? []) {
    const link = links.between(before.last.upstream.dataCentre, stage.upstream.dataCentre);
    best = better(best, {
      last: stage,
      before,
      width: Math.min(width, before.width, link.tokensPerSecond),
      latencyMs: before.latencyMs + link.latencyMs,
    });
  }
  return best;
}

/** The wider path; of two about equal the nearer, then the one that wastes less before it. */
function better(a: Path | undefined, b: Path): Path {
  if (!a) return b;
  if (Math.abs(a.width - b.width) > evenShare * Math.max(a.width, b.width)) {
    return b.width > a.width ? b : a;
  }
  if (a.latencyMs !== b.latencyMs) return b.latencyMs < a.latencyMs ? b : a;
  return wasteOf(b) < wasteOf(a) ? b : a;
}

function wasteOf(path: Path): number {
  let waste = 0;
  for (let p: Path | undefined = path; p; p = p.before) {
    waste += p.last.stage.tokensPerSecond - path.width;
  }
  return waste;
}

function stagesOf(path: Path): readonly UpstreamStage[] {
  const out: UpstreamStage[] = [];
  for (let p: Path | undefined = path; p; p = p.before) out.unshift(p.last);
  return out;
}

/** Orders stages by their first layer. */
export function byLayer(a: UpstreamStage, b: UpstreamStage): number {
  return a.stage.from - b.stage.from || (a.upstream.id < b.upstream.id ? -1 : 1);
}

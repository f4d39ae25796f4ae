/** Finds the chain of greatest throughput among free stages. */

import type { Millis } from '@tanagercart/base';
import type { Model } from '@tanagercart/release';
import type { UpstreamStage } from './plan.js';
import type { LinkBudget } from './links.js';

/** A chain, or its beginning. */
interface PartialChain {
  readonly last: UpstreamStage;
  readonly previous: PartialChain | undefined;
  /** Throughput of its narrowest stage or link. */
  readonly width: number;
  readonly latencyMs: Millis;
}

/** Relative difference below which two throughputs count as equal. */
const equalWidthTolerance = 0.02;

/**
 * The widest chain that holds every layer once within `latencyMs`; of equals the nearest. `free` is
 * in the order of `byLayer`.
 */
export function widestChain(
  model: Model,
  free: Iterable<UpstreamStage>,
  links: LinkBudget,
  maxLatencyMs: Millis,
): readonly UpstreamStage[] | undefined {
  const bestByEnd = new Map<number, Map<string, PartialChain>>();
  let best: PartialChain | undefined;
  for (const stage of free) {
    const chain = bestChainTo(stage, bestByEnd, links);
    if (
      !chain ||
      chain.width <= 0 ||
      chain.latencyMs > maxLatencyMs ||
      stage.stage.to > model.layers
    ) {
      continue;
    }
    if (stage.stage.to === model.layers) best = betterOf(best, chain);
    else recordBest(bestByEnd, chain);
  }
  return best && stagesOfChain(best);
}

/** Keeps one path for each layer and data centre: what follows depends on nothing else. */
function recordBest(bestByEnd: Map<number, Map<string, PartialChain>>, chain: PartialChain): void {
  const { stage, upstream } = chain.last;
  const byDataCentre = bestByEnd.get(stage.to) ?? new Map<string, PartialChain>();
  byDataCentre.set(upstream.dataCentre, betterOf(byDataCentre.get(upstream.dataCentre), chain));
  bestByEnd.set(stage.to, byDataCentre);
}

function bestChainTo(
  stage: UpstreamStage,
  bestByEnd: ReadonlyMap<number, ReadonlyMap<string, PartialChain>>,
  links: LinkBudget,
): PartialChain | undefined {
  const width = stage.stage.tokensPerSecond;
  if (stage.stage.from === 0) return { last: stage, previous: undefined, width, latencyMs: 0 };
  let best: PartialChain | undefined;
  for (const previous of bestByEnd.get(stage.stage.from)?.values() ?? []) {
    const link = links.between(previous.last.upstream.dataCentre, stage.upstream.dataCentre);
    best = betterOf(best, {
      last: stage,
      previous,
      width: Math.min(width, previous.width, link.tokensPerSecond),
      latencyMs: previous.latencyMs + link.latencyMs,
    });
  }
  return best;
}

/** The wider path; of two about equal the nearer, then the one that wastes less before it. */
function betterOf(a: PartialChain | undefined, b: PartialChain): PartialChain {
  if (!a) return b;
  if (Math.abs(a.width - b.width) > equalWidthTolerance * Math.max(a.width, b.width)) {
    return b.width > a.width ? b : a;
  }
  if (a.latencyMs !== b.latencyMs) return b.latencyMs < a.latencyMs ? b : a;
  return unusedThroughput(b) < unusedThroughput(a) ? b : a;
}

function unusedThroughput(chain: PartialChain): number {
  let unused = 0;
  for (let p: PartialChain | undefined = chain; p; p = p.previous) {
    unused += p.last.stage.tokensPerSecond - chain.width;
  }
  return unused;
}

function stagesOfChain(chain: PartialChain): readonly UpstreamStage[] {
  const out: UpstreamStage[] = [];
  for (let p: PartialChain | undefined = chain; p; p = p.previous) out.unshift(p.last);
  return out;
}

/** Orders stages by their first layer. */
export function byLayer(a: UpstreamStage, b: UpstreamStage): number {
  return a.stage.from - b.stage.from || (a.upstream.id < b.upstream.id ? -1 : 1);
}

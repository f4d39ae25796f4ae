/**
 * An upper bound on the throughput of a model, by which a plan of replicas can be judged. Each
 * stage is an edge of a flow network, from its first layer to its last, and so is each link between
 * data centres at every layer boundary.
 */

import type { Model } from '@tanagercart/release';
import type { UpstreamStage } from './plan.js';
import { FlowNetwork } from './flow.js';
import type { LinkTable } from './links.js';

/**
 * The maximum flow over `stages` and `links`, in tokens per second. No set of replicas has a higher
 * throughput. Links within a data centre are taken as unlimited.
 */
export function throughputBound(
  model: Model,
  stages: readonly UpstreamStage[],
  links: LinkTable,
): number {
  const flow = FlowNetwork.create();
  const sink = flow.addVertex();
  const source = flow.addVertex();
  const vertices = new Map<string, number>();
  /** The vertex of a layer boundary in a data centre. */
  const at = (layer: number, dataCentre: string) => {
    const key = `${layer}|${dataCentre}`;
    const vertex = vertices.get(key) ?? flow.addVertex();
    vertices.set(key, vertex);
    return vertex;
  };
  const usable = stages.filter((s) => s.stage.to <= model.layers);
  const dataCentres = [...new Set(usable.map((s) => s.upstream.dataCentre))];
  const layers = new Set(usable.map((s) => s.stage.to).filter((l) => l < model.layers));
  for (const { stage, upstream } of usable) {
    const { from, to, tokensPerSecond } = stage;
    flow.addEdge(at(from, upstream.dataCentre), at(to, upstream.dataCentre), tokensPerSecond);
  }
  for (const layer of layers) {
    for (const a of dataCentres) {
      for (const b of dataCentres) {
        if (a !== b) flow.addEdge(at(layer, a), at(layer, b), links.between(a, b).tokensPerSecond);
      }
    }
  }
  for (const dataCentre of dataCentres) {
    flow.addEdge(source, at(0, dataCentre), Infinity);
    flow.addEdge(at(model.layers, dataCentre), sink, Infinity);
  }
  return flow.maxFlow(source, sink);
}

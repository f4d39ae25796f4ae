/** Weights of nodes by their room, held still against small changes of load. */

import type { NodeId } from '@tanagercart/base';

/** How strongly the weight falls with the load relative to the mean. */
const steepness = 3;

/** Steps of a weight for each halving. */
const stepsPerHalving = 2;

/** Steps by which a load must move before the weight follows. */
const hysteresisSteps = 0.75;

/** Least weight, in halvings: even a heavily loaded node keeps a few callers. */
const maxHalvings = 4;

/** The weights that one node gives the others. */
export class NodeWeights {
  private readonly steps = new Map<NodeId, number>();

  static create(): NodeWeights {
    return new NodeWeights();
  }

  /** The weight of a node whose load is `relative` times the mean. */
  weight(node: NodeId, relativeLoad: number): number {
    const halvings = Math.log2(Math.max(relativeLoad, Number.EPSILON)) * steepness;
    const bounded = Math.min(maxHalvings, Math.max(-maxHalvings, halvings));
    const exact = bounded * stepsPerHalving;
    const current = this.steps.get(node) ?? 0;
    const step = Math.abs(exact - current) > hysteresisSteps ? Math.round(exact) : current;
    this.steps.set(node, step);
    return 2 ** (-step / stepsPerHalving);
  }

  /** Drops the nodes that are gone. */
  retain(nodes: ReadonlySet<NodeId>): void {
    for (const node of this.steps.keys()) if (!nodes.has(node)) this.steps.delete(node);
  }
}

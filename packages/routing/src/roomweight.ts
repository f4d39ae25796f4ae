/** Weights of nodes by their room, held still against small changes of load. */

import type { NodeId } from '@tanagercart/base';

/** How strongly the weight falls with the load relative to the mean. */
const steepness = 3;

/** Steps of a weight for each halving. */
const stepsPerHalving = 2;

/** Steps by which a load must move before the weight follows. */
const holdSteps = 0.75;

/** Least weight, in halvings: even a heavily loaded node keeps a few callers. */
const mostHalvings = 4;

/** The weights that one node gives the others. */
export class RoomWeights {
  private readonly steps = new Map<NodeId, number>();

  static create(): RoomWeights {
    return new RoomWeights();
  }

  /** The weight of a node whose load is `relative` times the mean. */
  weight(node: NodeId, relative: number): number {
    const halvings = Math.log2(Math.max(relative, Number.EPSILON)) * steepness;
    const bounded = Math.min(mostHalvings, Math.max(-mostHalvings, halvings));
    const exact = bounded * stepsPerHalving;
    const held = this.steps.get(node) ?? 0;
    const step = Math.abs(exact - held) > holdSteps ? Math.round(exact) : held;
    this.steps.set(node, step);
    return 2 ** (-step / stepsPerHalving);
  }

  /** Drops the nodes that are gone. */
  keepOnly(nodes: ReadonlySet<NodeId>): void {
    for (const node of this.steps.keys()) if (!nodes.has(node)) this.steps.delete(node);
  }
}

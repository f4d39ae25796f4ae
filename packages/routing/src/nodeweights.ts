/**
 * Computes weights of nodes that fall with their load. Weights change in steps with hysteresis, so
 * that small changes of load don't move callers from one node to another.
 */

import type { NodeId } from '@tanagercart/base';

/** The weight is proportional to the relative load to the power of minus this exponent. */
const steepness = 3;

/** Number of steps in which a weight halves. */
const stepsPerHalving = 2;

/** Distance from the current weight that a load must exceed before the weight follows, in steps. */
const hysteresisSteps = 0.75;

/**
 * Most halvings or doublings of a weight, so that even a heavily loaded node keeps a few callers.
 */
const maxHalvings = 4;

/** Weights of nodes, as computed by one node. */
export class NodeWeights {
  /** Current weight of each node as a number of steps below 1; negative if it is above 1. */
  private readonly steps = new Map<NodeId, number>();

  static create(): NodeWeights {
    return new NodeWeights();
  }

  /** The weight of a node whose load is `relative` times the mean; 1 at the mean. */
  weight(node: NodeId, relative: number): number {
    const halvings = Math.log2(Math.max(relative, Number.EPSILON)) * steepness;
    const bounded = Math.min(maxHalvings, Math.max(-maxHalvings, halvings));
    const exact = bounded * stepsPerHalving;
    const current = this.steps.get(node) ?? 0;
    const step = Math.abs(exact - current) > hysteresisSteps ? Math.round(exact) : current;
    this.steps.set(node, step);
    return 2 ** (-step / stepsPerHalving);
  }

  /** Removes the weights of all nodes except `nodes`. */
  retain(nodes: ReadonlySet<NodeId>): void {
    for (const node of this.steps.keys()) if (!nodes.has(node)) this.steps.delete(node);
  }
}

/** Predicts how long a path takes to answer, from the speed and the load of its stages. */

import type { Millis } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import { computeMs } from './cost.js';
import type { RequestSize } from './cost.js';
import type { PathSegment } from './stage.js';

/**
 * Time that a segment adds to an answer. Unlike a cost it has no weights; it
 * leaves out queues and hops, and the measured slowness of the stage, so that an answer shows it.
 */
export function predictedMs(
  engine: Engine,
  { stage, layers }: PathSegment,
  size: RequestSize,
): Millis {
  return (computeMs(engine, stage, size) * (layers.to - layers.from)) / engine.layerCount;
}

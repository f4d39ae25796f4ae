/** Predicts how long a path takes to answer, from the speed and the load of its stages. */

import type { Millis } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import type { RequestSize } from './cost.js';
import type { PathSegment } from './stage.js';

/**
 * Time that a segment adds to an answer of `answerTokens` tokens. Unlike a cost it has no weights; it
 * leaves out queues and hops, and the measured slowness of the stage, so that an answer shows it.
 */
export function predictedMs(
  engine: Engine,
  { stage, layers }: PathSegment,
  { promptTokens, answerTokens }: RequestSize,
): Millis {
  const layerShare = (layers.to - layers.from) / engine.layerCount;
  const prefillMs = (promptTokens * 1000 * stage.readFactor) / engine.prefillTokensPerSecond;
  const stepMs = (engine.stepMs + stage.sequences * engine.stepMsPerSequence) * stage.stepFactor;
  return (prefillMs + answerTokens * stepMs) * layerShare;
}

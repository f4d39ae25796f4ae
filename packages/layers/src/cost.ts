/**
 * Estimates the cost of running a request on one segment of a path, and of passing it from one
 * stage to the next. Costs are in milliseconds, but they are weighted, so that they rank paths
 * rather than predict how long a request takes.
 */

import type { DataCentreId, Millis } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import type { LayerRange, Path, Stage } from './stage.js';

/** Size of a request in tokens, known or estimated before it runs. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

const bitsPerByte = 8;
const bitsPerMegabit = 1e6;

/**
 * Transfers between data centres queue behind one another on the shared link, so each one counts
 * as at least this many times its own duration; a shorter queue does not change the choice of paths.
 */
export const linkQueueFactor = 8;

/** Time that a hop adds to each token: the next stage first finishes the pass it is running. */
const hopMs: Millis = 0.4;

/**
 * Weight of decode time. Callers wait for the first token; the later ones arrive faster than they
 * are needed.
 */
const decodeWeight = 0.2;

/**
 * Cost of sending a request to a first stage in another data centre: links between data centres
 * lose packets and are interrupted more often than links within one.
 */
export const remoteEntryCostMs: Millis = 120;

/** Above this share of a stage's memory requests are preempted, so paths should avoid the stage. */
export const fullMemoryShare = 0.92;

/** Cost of a stage without memory for the request; a path uses it only where there is no other. */
const fullMemoryCostMs: Millis = 4000;

/**
 * Time that a stage of usual speed computes for a request, given its load: the prefill of the prompt
 * and a step for each token of the answer, with all layers.
 */
export function computeMs(
  engine: Engine,
  stage: Stage,
  { promptTokens, answerTokens }: RequestSize,
): Millis {
  const prefillMs = (promptTokens * 1000 * stage.readFactor) / engine.prefillTokensPerSecond;
  const stepMs = engine.stepMs + stage.sequences * engine.stepMsPerSequence;
  return prefillMs + answerTokens * stepMs * stage.stepFactor;
}

/** Cost of prefill and decode of a request on `layers` of `stage`, given the stage's load. */
export function segmentCostMs(
  engine: Engine,
  stage: Stage,
  layers: LayerRange,
  size: RequestSize,
): Millis {
  const layerCount = layers.to - layers.from;
  const layerShare = layerCount / engine.layerCount;
  const weighted = { ...size, answerTokens: size.answerTokens * decodeWeight };
  // A slow stage takes longer for each request and also builds up a queue, so `slowness` counts
  // twice.
  const weightedMs = computeMs(engine, stage, weighted) * layerShare * stage.slowness ** 2;
  return weightedMs + memoryCostMs(stage, layerCount, size);
}

/** Delay that a hop adds to the tokens of a request, within or between data centres. */
export function hopDelayMs(
  engine: Engine,
  from: DataCentreId,
  to: DataCentreId,
  size: RequestSize,
): Millis {
  const delayMs = from === to ? 0 : linkDelayMs(engine, from, to);
  return (hopMs + delayMs) * (1 + size.answerTokens * decodeWeight);
}

/**
 * Cost of transferring the activations of a prompt from one stage to one in another data centre,
 * behind a queue of `queueMs` on the link.
 */
export function activationTransferMs(engine: Engine, size: RequestSize, queueMs: Millis): Millis {
  const ownMs = linkMs(engine, activationBytes(engine, size));
  return Math.max(ownMs * linkQueueFactor, ownMs + queueMs);
}

/** Bytes that one hop between data centres transfers before the first token of a request. */
export function activationBytes(engine: Engine, { promptTokens }: RequestSize): number {
  return promptTokens * engine.activationBytes;
}

/** Time for which `bytes` occupy the link between data centres. */
export function linkMs(engine: Engine, bytes: number): Millis {
  return (bytes * bitsPerByte * 1000) / (engine.interDataCentreMbps * bitsPerMegabit);
}

/** Whether each stage of a path has memory left for the request. */
export function hasRoom(path: Path, size: RequestSize): boolean {
  return path.every(({ stage, layers }) => hasRoomAt(stage, layers, size));
}

/** Whether a stage has memory left for `layers` of the request. */
export function hasRoomAt(stage: Stage, layers: LayerRange, size: RequestSize): boolean {
  return usedShareWith(stage, layers.to - layers.from, size) <= fullMemoryShare;
}

/** The share of its memory for requests that a stage would have in use with this one. */
function usedShareWith(stage: Stage, layerCount: number, size: RequestSize): number {
  const needed = (size.promptTokens + size.answerTokens) * layerCount;
  return (stage.tokenLayersUsed + needed) / Math.max(1, stage.tokenLayerCapacity);
}

/**
 * Penalty for the memory that the stage would have in use; 0 while that is less than half. A paced
 * stage at its limit counts as full.
 */
function memoryCostMs(stage: Stage, layerCount: number, size: RequestSize): Millis {
  const usedShare = usedShareWith(stage, layerCount, size);
  if (stage.paceLoad !== undefined) {
    return fullMemoryCostMs * Math.max(1, usedShare, stage.paceLoad);
  }
  if (usedShare < 0.5) return 0;
  if (usedShare > fullMemoryShare) return fullMemoryCostMs * usedShare;
  return (usedShare - 0.5) * 100;
}

/** One-way delay between two data centres; 1 ms where the service does not configure one. */
function linkDelayMs(engine: Engine, from: DataCentreId, to: DataCentreId): Millis {
  const delay = engine.delays.find(
    (d) => (d.from === from && d.to === to) || (d.from === to && d.to === from),
  );
  return delay?.ms ?? 1;
}

/** Estimates how long a request takes on a part of a path. */

import type { DataCentreId, Millis } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import type { LayerRange, Stage } from './stage.js';

/** Tokens of a request, as far as they are known before it runs. */
export interface RequestSize {
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/** Bits of a byte, and of a megabit. */
const bitsPerByte = 8;
const bitsPerMegabit = 1e6;

/** Transfers between data centres wait for one another: each is counted this many times. */
const pipeQueueFactor = 8;

/** Time that each hop adds to a token: the next stage finishes its pass first. */
const hopMs: Millis = 0.4;

/** Weight of the time of later tokens: callers wait for the first one, the others come in time. */
const answerWeight = 0.2;

/** Cost of entering another data centre: links between them lose packets and are cut more often. */
export const remoteEntryCostMs: Millis = 120;

/** Share of a stage's memory from which on requests are preempted, so that it is avoided. */
const fullShare = 0.92;

/** Cost of a stage without memory for the request; paths take it only where there is no other. */
const fullMs: Millis = 4000;

/** Time of a request's prompt and tokens on `layers` of `stage`, with what runs there now. */
export function segmentCostMs(
  engine: Engine,
  stage: Stage,
  layers: LayerRange,
  work: RequestSize,
): Millis {
  const count = layers.to - layers.from;
  const share = count / engine.layerCount;
  const readMs = (work.promptTokens * 1000 * stage.readFactor) / engine.readTokensPerSecond;
  const step = engine.stepMs + stage.sequences * engine.stepMsPerSequence;
  const stepsMs = work.answerTokens * answerWeight * step * stage.stepFactor;
  // A slow stage also queues: its load counts as much more as its time.
  const busy = (readMs + stepsMs) * share * stage.slowness ** 2;
  return busy + memoryMs(stage, count, work);
}

/** Delay of the tokens of a request on a hop from one data centre to the next. */
export function hopDelayMs(
  engine: Engine,
  from: DataCentreId,
  to: DataCentreId,
  work: RequestSize,
): Millis {
  const delay = from === to ? 0 : delayOf(engine, from, to);
  return (hopMs + delay) * (1 + work.answerTokens * answerWeight);
}

/** Time to pass what a stage made of the prompt on to another data centre. */
export function activationTransferMs(engine: Engine, work: RequestSize): Millis {
  const bits = work.promptTokens * engine.activationBytes * bitsPerByte;
  return ((bits * 1000) / (engine.pipeMbps * bitsPerMegabit)) * pipeQueueFactor;
}

function memoryMs(stage: Stage, layerCount: number, work: RequestSize): Millis {
  const wanted = (work.promptTokens + work.answerTokens) * layerCount;
  const used = (stage.tokenLayersUsed + wanted) / Math.max(1, stage.tokenLayerCapacity);
  if (used < 0.5) return 0;
  if (used > fullShare) return fullMs * used;
  return (used - 0.5) * 100;
}

/** One-way delay between two data centres; 1 ms where the service names none. */
function delayOf(engine: Engine, from: DataCentreId, to: DataCentreId): Millis {
  const known = engine.delays.find(
    (d) => (d.from === from && d.to === to) || (d.from === to && d.to === from),
  );
  return known?.ms ?? 1;
}

/** Engines, stages and hosts for tests, also for those of other packages. */

import { DataCentreId, UpstreamId } from '@tanagercart/base';
import type { Accelerator, Engine } from '@tanagercart/config';
import type { LayerHost, LayerRange, Stage } from '../src/index.js';

export const accelerators: readonly Accelerator[] = [
  { name: 'large', memoryMb: 36000, stepFactor: 3, readFactor: 3 },
  { name: 'middle', memoryMb: 21600, stepFactor: 16, readFactor: 8 },
  { name: 'small', memoryMb: 14400, stepFactor: 15, readFactor: 15 },
];

/** The engine settings of a model with 80 layers of 1750 MB, with the given changes. */
export function engine(change: Partial<Engine> = {}): Engine {
  return {
    slots: 134,
    layerCount: 80,
    layerMb: 1750,
    kvBytesPerToken: 600_000,
    activationBytes: 30_000,
    interDataCentreMbps: 6500,
    stepMs: 0.85,
    stepMsPerSequence: 0.004,
    stepMsPerThousandTokens: 0.005,
    prefillTokensPerSecond: 272_000,
    loadSeconds: 14,
    maxConcurrentLoads: 6,
    reportLagMs: 200,
    meanPromptTokens: 772,
    meanAnswerTokens: 150,
    delays: [],
    accelerators,
    ...change,
  };
}

export const requestSize = { promptTokens: 772, answerTokens: 150 };

/** An idle stage that holds the layers from `from` to `to`. */
export function stage(id: string, dataCentre: string, from: number, to: number): Stage {
  return {
    id: UpstreamId(id),
    address: `${id}:1`,
    dataCentre: DataCentreId(dataCentre),
    layers: { from, to },
    stepFactor: 15,
    readFactor: 10,
    sequences: 0,
    entered: 0,
    entryWaitMs: 0,
    tokenLayerCapacity: 1e6,
    tokenLayersUsed: 0,
    slowness: 1,
  };
}

/** An idle host with the accelerator at index `kind` of `accelerators`. */
export function host(id: string, dataCentre: string, kind: number, layers?: LayerRange): LayerHost {
  return {
    id: UpstreamId(id),
    dataCentre: DataCentreId(dataCentre),
    accelerator: accelerators[kind]!,
    layers,
    busy: false,
    sequences: 0,
  };
}

/** The hosts of a data centre: for each accelerator, `counts` of them, all without layers. */
export function centre(name: string, counts: readonly number[]): readonly LayerHost[] {
  return counts.flatMap((count, kind) =>
    Array.from({ length: count }, (_, i) => host(`${name}-${kind}-${i}`, name, kind)),
  );
}

/** What is known of an upstream that holds a range of layers. */

import type { DataCentreId, UpstreamId } from '@tanagercart/base';

/** Layers from `from` up to, but without, `to`. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** A range as it is logged. */
export function formatRange({ from, to }: LayerRange): string {
  return `${from}-${to}`;
}

/** An upstream through which a path may go. */
export interface Stage {
  readonly id: UpstreamId;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly layers: LayerRange;
  /** Multiple of the service's step time, for all layers. */
  readonly stepFactor: number;
  /** Multiple of the service's time to read a prompt token, for all layers. */
  readonly readFactor: number;
  /** Sequences in progress that pass through it. */
  readonly sequences: number;
  /** Sequences in progress that enter here. */
  readonly entered: number;
  /** Tokens x layers that its memory holds, and of which are taken. */
  readonly tokenLayerCapacity: number;
  readonly tokenLayersUsed: number;
  /** How many times slower than its kind it was seen to be; 1 where nothing is known. */
  readonly slowness: number;
}

/** The layers that one stage runs for a request. */
export interface PathSegment {
  readonly stage: Stage;
  readonly layers: LayerRange;
}

/** Parts that run every layer once and in order. */
export type Path = readonly PathSegment[];

/** Whether the parts run each of `layerCount` layers once and in order. */
export function isComplete(path: Path, layerCount: number): boolean {
  let at = 0;
  for (const { stage, layers } of path) {
    if (layers.from !== at || layers.to <= at) return false;
    if (layers.from < stage.layers.from || layers.to > stage.layers.to) return false;
    at = layers.to;
  }
  return at === layerCount && new Set(path.map((p) => p.stage.id)).size === path.length;
}

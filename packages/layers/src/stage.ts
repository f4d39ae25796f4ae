/** Layer ranges, the upstreams that hold them (stages), and paths through several stages. */

import type { DataCentreId, Millis, UpstreamId } from '@tanagercart/base';
import type { Accelerator, Engine } from '@tanagercart/config';

const bytesPerMegabyte = 1e6;

/** A half-open range of layers: `from` is included, `to` is not. */
export interface LayerRange {
  readonly from: number;
  readonly to: number;
}

/** The layers that both ranges hold; undefined where there are none. */
export function intersect(a: LayerRange, b: LayerRange): LayerRange | undefined {
  const from = Math.max(a.from, b.from);
  const to = Math.min(a.to, b.to);
  return from < to ? { from, to } : undefined;
}

/** Formats a range for log lines, such as "0-40". */
export function formatRange({ from, to }: LayerRange): string {
  return `${from}-${to}`;
}

/** An upstream that holds a range of layers and can run them as part of a path. */
export interface Stage {
  readonly id: UpstreamId;
  readonly address: string;
  readonly dataCentre: DataCentreId;
  readonly layers: LayerRange;
  /** Decode step time of all layers on this stage, as a multiple of the service's step time. */
  readonly stepFactor: number;
  /** Prefill time per token of all layers on this stage, as a multiple of the service's. */
  readonly readFactor: number;
  /** Sequences in progress whose path includes this stage. */
  readonly sequences: number;
  /** Sequences in progress whose path starts at this stage. */
  readonly entered: number;
  /** Time until it accepts a request as the first stage; infinite where that would be too late. */
  readonly entryWaitMs: Millis;
  /** KV cache capacity, in tokens times layers. */
  readonly tokenLayerCapacity: number;
  /** The part of `tokenLayerCapacity` that is in use. */
  readonly tokenLayersUsed: number;
  /** Measured time relative to other upstreams with this accelerator; 1 where it is not known. */
  readonly slowness: number;
  /**
   * Requests in progress at a paced stage that counts as full, as a multiple of its limit; missing
   * for any other stage.
   */
  readonly paceLoad?: number;
}

/** KV cache capacity of a stage with `layerCount` layers, in tokens times layers; below 0 without room. */
export function tokenLayerCapacityOf(
  engine: Engine,
  accelerator: Accelerator,
  layerCount: number,
): number {
  const freeMb = accelerator.memoryMb - layerCount * engine.layerMb;
  return (freeMb * bytesPerMegabyte * engine.layerCount) / engine.kvBytesPerToken;
}

/** The layers that one stage runs for a request. */
export interface PathSegment {
  readonly stage: Stage;
  readonly layers: LayerRange;
}

/** The segments of a request, in the order in which it passes through them. */
export type Path = readonly PathSegment[];

/**
 * Whether the path runs each of `layerCount` layers once and in order, every segment lies within
 * the range that its stage holds, and no stage occurs twice.
 */
export function isComplete(path: Path, layerCount: number): boolean {
  let at = 0;
  for (const { stage, layers } of path) {
    if (layers.from !== at || layers.to <= at) return false;
    if (layers.from < stage.layers.from || layers.to > stage.layers.to) return false;
    at = layers.to;
  }
  return at === layerCount && new Set(path.map((p) => p.stage.id)).size === path.length;
}

/** Number of hops of a path that transfer activations to another data centre. */
export function crossingsOf(path: Path): number {
  return path.filter((p, i) => i > 0 && p.stage.dataCentre !== path[i - 1]!.stage.dataCentre)
    .length;
}

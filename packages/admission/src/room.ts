/** The room of a service: what its stages can hold of requests at once. */

import type { LayerRange } from '@tanagercart/layers';

/** What a stage contributes to the room. */
export interface RoomStage {
  readonly layers: LayerRange;
  /** KV cache capacity, in tokens times layers. */
  readonly tokenLayerCapacity: number;
  /** Requests that it accepts as the first stage of a path. */
  readonly slots: number;
}

/** An amount of requests: their tokens, and how many there are. */
export interface Amount {
  readonly tokens: number;
  readonly requests: number;
}

/** Halvings of the interval in which the room is searched; the rest is below a millionth of it. */
const halvings = 20;

/** The most that the stages of a service can hold at once; no tokens if a layer has no stage. */
export function roomOf(stages: readonly RoomStage[], layerCount: number): Amount {
  const entrances = stages.filter((s) => s.layers.from === 0);
  const requests = entrances.reduce((n, s) => n + s.slots, 0);
  return { tokens: tokensOf(mergeByRange(stages), layerCount), requests };
}

/** Most tokens for which each layer finds memory on the stages that hold it. */
function tokensOf(stages: readonly RoomStage[], layerCount: number): number {
  const total = stages.reduce((n, s) => n + s.tokenLayerCapacity, 0);
  const bounds = boundsOf(stages, layerCount);
  let low = 0;
  let high = total / layerCount;
  if (canHold(stages, bounds, high)) return high;
  for (let i = 0; i < halvings; i += 1) {
    const middle = (low + high) / 2;
    if (canHold(stages, bounds, middle)) low = middle;
    else high = middle;
  }
  return low;
}

/**
 * Whether each layer can hold `tokens`. A stage may use its memory for any of its layers, so the
 * memory of the stages that end first is used first, from the first layer to the last.
 */
function canHold(stages: readonly RoomStage[], bounds: readonly number[], tokens: number): boolean {
  const left = stages.map((s) => s.tokenLayerCapacity);
  for (let i = 0; i + 1 < bounds.length; i += 1) {
    const from = bounds[i]!;
    let needed = tokens * (bounds[i + 1]! - from);
    stages.forEach(({ layers }, at) => {
      if (layers.from > from || layers.to <= from) return;
      const used = Math.min(needed, left[at]!);
      left[at]! -= used;
      needed -= used;
    });
    // Rounding leaves a remainder where the stages are just large enough.
    if (needed > tokens * 1e-9) return false;
  }
  return true;
}

/** The layers at which the set of holders changes, in order, with the first and the last. */
function boundsOf(stages: readonly RoomStage[], layerCount: number): readonly number[] {
  const inner = stages.flatMap((s) => [s.layers.from, s.layers.to]);
  const bounds = new Set([0, layerCount, ...inner.filter((at) => at > 0 && at < layerCount)]);
  return [...bounds].sort((a, b) => a - b);
}

/** One stage for each range, in the order in which the ranges end. */
function mergeByRange(stages: readonly RoomStage[]): readonly RoomStage[] {
  const merged = new Map<string, RoomStage>();
  for (const stage of stages) {
    const key = `${stage.layers.from}-${stage.layers.to}`;
    const known = merged.get(key)?.tokenLayerCapacity ?? 0;
    const tokenLayerCapacity = known + Math.max(0, stage.tokenLayerCapacity);
    merged.set(key, { ...stage, tokenLayerCapacity });
  }
  return [...merged.values()].sort((a, b) => a.layers.to - b.layers.to);
}

/**
 * Up to which share of the room each priority may fill it. Room that becomes free while it is short
 * goes to the most urgent priority that has demand, as those below have a lower ceiling.
 */

import { fullMemoryShare } from '@tanagercart/layers';
import { totalOf } from './demand.js';

/**
 * Up to this share of the room, every request is admitted. What is left up to the full share is what
 * entries may admit too much between two reports, and lets the more urgent ones in.
 */
export const openShare = 0.85;

/** What a priority leaves free for each more urgent one: with two of them, up to the full share. */
export const ceilingStep = 0.035;

/** A priority with less than this part of the demand counts as without demand. */
const minDemandPart = 0.01;

/** The share of the room up to which a priority may fill it, by the demand of all priorities. */
export function ceilingOf(priority: number, demand: readonly number[]): number {
  return ceilingAbove(withDemand(demand).filter((p) => p > priority).length);
}

/** The ceiling of the most urgent priority that has demand. */
export function highestCeiling(demand: readonly number[]): number {
  return ceilingAbove(Math.max(0, withDemand(demand).length - 1));
}

function ceilingAbove(lessUrgent: number): number {
  return Math.min(fullMemoryShare, openShare + lessUrgent * ceilingStep);
}

/** The priorities that have demand. */
function withDemand(demand: readonly number[]): readonly number[] {
  const least = totalOf(demand) * minDemandPart;
  return demand.flatMap((rate, priority) => (rate > least ? [priority] : []));
}

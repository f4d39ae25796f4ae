/**
 * Decides whether a path may use the link between data centres. All transfers share the link one
 * after the other: once more prompts cross than it carries, all of them are late, and hold their
 * memory while they wait.
 */

import type { Millis } from '@tanagercart/base';
import { linkQueueFactor } from './cost.js';

/**
 * A link may run at a third of its rate for seconds without a sign but later first tokens, so a
 * queue is expected to take this many times as long as at the configured rate.
 */
const slowLinkFactor = 3;

/**
 * Up to this many transfers of the same size ahead, the entries do not share the rest of the queue:
 * a crossing costs no more behind them than on an idle link.
 */
const sharedFromTransfers = linkQueueFactor - 1;

/** One transfer, and what is known of the link. */
export interface LinkDemand {
  /** Time that the link takes for what waits already, and for this transfer, at its configured rate. */
  readonly queueMs: Millis;
  readonly transferMs: Millis;
  /** Time until the request's latency target. */
  readonly targetLeftMs: Millis;
  /** Entries that decide by the same reports, this one included. */
  readonly entryCount: number;
  /** Drawn from 0 to 1. */
  readonly draw: number;
}

/**
 * Whether the transfer may join the queue. In a queue the entries share what is left of it: each
 * takes its part, by chance where the part is less than one transfer, as the others decide by the
 * same reports.
 */
export function mayCross(demand: LinkDemand): boolean {
  const { queueMs, transferMs, targetLeftMs, entryCount, draw } = demand;
  if (queueMs <= 0) return true;
  const leftMs = targetLeftMs / slowLinkFactor - queueMs - transferMs;
  if (leftMs <= 0) return false;
  if (queueMs <= transferMs * sharedFromTransfers) return true;
  return draw * transferMs < leftMs / Math.max(1, entryCount);
}

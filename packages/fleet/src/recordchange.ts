/**
 * How a change of an upstream alters its record. Whatever is proposed, a record never goes back to an
 * earlier incarnation, nor to an earlier phase of one.
 */

import { unreachable } from '@tanagercart/base';
import type { UpstreamPhase, UpstreamRecord } from '@tanagercart/protocol';
import type { UpstreamChange } from './command.js';

/** Within one incarnation, a record only moves to a phase of higher rank. */
const phaseRank: Record<UpstreamPhase, number> = { ready: 0, draining: 1, gone: 2 };

/** Whether an upstream in phase `a` is closer to its end than in phase `b`. */
export function isLaterPhase(a: UpstreamPhase, b: UpstreamPhase): boolean {
  return phaseRank[a] > phaseRank[b];
}

/** The phase that is closer to the end of the upstream. */
export function laterPhase(a: UpstreamPhase, b: UpstreamPhase): UpstreamPhase {
  return isLaterPhase(a, b) ? a : b;
}

/** The record after a change; undefined if the change does not apply to it. */
export function changedRecord(
  current: UpstreamRecord | undefined,
  { scope = 'all', ...record }: UpstreamChange,
): UpstreamRecord | undefined {
  if (current?.born !== record.born) {
    const isEarlier = current !== undefined && current.born > record.born;
    const isWhole = scope === 'all' || scope === 'all-but-layers';
    return isEarlier || !isWhole ? undefined : record;
  }
  const phase = laterPhase(current.phase, record.phase);
  switch (scope) {
    case 'all':
      return { ...record, phase };
    case 'all-but-layers':
      return { ...record, phase, layers: current.layers };
    case 'phase':
      return { ...current, phase };
    case 'layers':
      return { ...current, layers: record.layers };
    default:
      return unreachable(scope);
  }
}

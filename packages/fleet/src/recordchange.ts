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
  { scope = 'all', revokes = false, ...record }: UpstreamChange,
): UpstreamRecord | undefined {
  if (current?.born !== record.born) {
    const isEarlier = current !== undefined && current.born > record.born;
    const isWhole = scope === 'all' || scope === 'all-but-layers';
    return isEarlier || !isWhole ? undefined : record;
  }
  if (revokes && current.isRevocable) return record;
  const phase = laterPhase(current.phase, record.phase);
  const end = endOf(current, record, phase);
  switch (scope) {
    case 'all':
      return { ...record, phase, ...end };
    case 'all-but-layers':
      return { ...record, phase, layers: current.layers, ...end };
    case 'phase':
      return { ...current, phase, ...end };
    case 'layers':
      return { ...current, layers: record.layers };
    default:
      return unreachable(scope);
  }
}

/** Whether the end of an upstream is revocable: not once the upstream itself has recorded it. */
function endOf(
  current: UpstreamRecord,
  record: UpstreamRecord,
  phase: UpstreamPhase,
): Pick<UpstreamRecord, 'isRevocable'> {
  if (phase !== 'gone') return {};
  const words = [current, record].filter((r) => r.phase === 'gone');
  return { isRevocable: words.every((r) => r.isRevocable) };
}

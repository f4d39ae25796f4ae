/** Submits a release note so that a lost answer or a silent voter does no harm. */

import type { Result } from 'neverthrow';
import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type { Committed, ProposeFailure, Proposer, ReleaseCommand } from '@tanagercart/state';

/** How long one try may take before the note is sent again, in milliseconds. */
const tryMs: Millis = 1000;

/** Proposes a note again and again for `timeoutMs` at most: a resend gets the first answer. */
export async function submitReleaseNote(
  proposer: Proposer,
  clock: Clock,
  command: ReleaseCommand,
  timeoutMs: Millis,
): Promise<Result<Committed, ProposeFailure>> {
  const deadline = clock.now() + timeoutMs;
  let maybeSent = false;
  for (;;) {
    const left = deadline - clock.now();
    const tried = await proposer.propose(command, Math.min(tryMs, left));
    if (tried.isOk()) return tried;
    maybeSent ||= tried.error.kind === 'unknown';
    if (deadline - clock.now() > 1) continue;
    // An earlier try may have been committed, whatever became of the last one.
    return maybeSent ? tried.mapErr((e) => ({ ...e, kind: 'unknown' })) : tried;
  }
}

/** The voters in the order in which they are worth asking. */
export function leaderFirst(
  voters: readonly NodeId[],
  leader: NodeId | undefined,
): readonly NodeId[] {
  return leader ? [leader, ...voters.filter((v) => v !== leader)] : voters;
}

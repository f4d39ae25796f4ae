/** Submits a release note in a way that survives a lost reply or a voter that does not answer. */

import type { Result } from 'neverthrow';
import type { Clock, Millis, NodeId } from '@tanagercart/base';
import type {
  CommittedCommand,
  ProposeFailure,
  Proposer,
  ReleaseCommand,
} from '@tanagercart/state';

/** Deadline of one attempt, after which the note is sent again, in milliseconds. */
const attemptTimeoutMs: Millis = 1000;

/**
 * Proposes a note repeatedly for `timeoutMs` at most. This is idempotent: a repeated note gets the
 * outcome of the first one. The error is `unknown` where any attempt may have been committed.
 */
export async function submitReleaseNote(
  proposer: Proposer,
  clock: Clock,
  command: ReleaseCommand,
  timeoutMs: Millis,
): Promise<Result<CommittedCommand, ProposeFailure>> {
  const deadline = clock.now() + timeoutMs;
  let mayBeCommitted = false;
  for (;;) {
    const left = deadline - clock.now();
    const result = await proposer.propose(command, Math.min(attemptTimeoutMs, left));
    if (result.isOk()) return result;
    mayBeCommitted ||= result.error.kind === 'unknown';
    if (deadline - clock.now() > 1) continue;
    // An earlier attempt may have been committed even if the last one certainly was not.
    return mayBeCommitted ? result.mapErr((e) => ({ ...e, kind: 'unknown' })) : result;
  }
}

/** The voters in the order in which to ask them: the leader, where it is known, comes first. */
export function leaderFirst(
  voters: readonly NodeId[],
  leader: NodeId | undefined,
): readonly NodeId[] {
  return leader ? [leader, ...voters.filter((v) => v !== leader)] : voters;
}

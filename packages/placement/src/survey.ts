/** Asks every entry what its requests use and lack. */

import type { Clock, Millis } from '@tanagercart/base';
import type { Transport, WorkItem } from '@tanagercart/protocol';
import type { SharedState } from '@tanagercart/state';

/** How long an entry may take to answer, in milliseconds. */
const replyTimeoutMs: Millis = 500;

/** What the entries told. */
export interface Survey {
  readonly askedAt: Millis;
  /** Whether every node that is up answered. */
  readonly complete: boolean;
  readonly open: readonly WorkItem[];
  readonly unserved: readonly WorkItem[];
}

/** The survey before the first. */
export const emptySurvey: Survey = { askedAt: -Infinity, complete: false, open: [], unserved: [] };

/** Asks all nodes that are up, at once. */
export async function surveyWork(
  state: SharedState,
  transport: Transport,
  clock: Clock,
): Promise<Survey> {
  const askedAt = clock.now();
  const options = { timeoutMs: replyTimeoutMs };
  const calls = [...state.nodes.keys()].map((n) => transport.call(n, 'work', {}, options));
  const replies = await Promise.all(calls);
  const answers = replies.flatMap((r) => (r.isOk() ? [r.value] : []));
  return {
    askedAt,
    complete: answers.length === replies.length,
    open: answers.flatMap((r) => r.open),
    unserved: answers.flatMap((r) => r.unserved),
  };
}

/** Asks the entries which versions and adapters their requests use and which they wait for. */

import type { Clock, Millis } from '@tanagercart/base';
import type { Transport, WorkItem } from '@tanagercart/protocol';
import type { SharedState } from '@tanagercart/state';

/** Timeout of an entry's reply, in milliseconds. */
const replyTimeoutMs: Millis = 500;

/** The combined replies of the entries. */
export interface Survey {
  /** Time just before the calls were sent. */
  readonly askedAt: Millis;
  /** Whether every node that is up replied. */
  readonly complete: boolean;
  /** What requests in progress use. */
  readonly open: readonly WorkItem[];
  /** What lately refused requests needed and no replica holds. */
  readonly unserved: readonly WorkItem[];
}

/** Stands for the survey until the first one is done. */
export const emptySurvey: Survey = { askedAt: -Infinity, complete: false, open: [], unserved: [] };

/** Asks all nodes that are up, in parallel. Replies that fail or time out are left out. */
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

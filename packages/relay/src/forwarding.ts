/** Passes the response of an attempt on to the caller, unless another attempt serves it. */

import type { RunningAttempt } from './attempts.js';
import { isRepeatable } from './call.js';
import type { Holding } from './intake.js';
import { failureOfRead, readResponse, sendResponse } from './outcome.js';
import type { AttemptOutcome } from './outcome.js';
import type { RequestState } from './requeststate.js';
import type { UpstreamResponse } from './upstream.js';

/**
 * Forwards a response to the caller. An error response to a repeatable request is not forwarded, as
 * another attempt may succeed; nor is one after a stream has begun, of which it is no part.
 */
export async function forwardResponse(
  state: RequestState,
  attempt: RunningAttempt,
  response: UpstreamResponse,
  onEvents: (count: number) => void,
  holding: Holding,
): Promise<AttemptOutcome> {
  const { call, caller, delivery, attempts } = state;
  const { status } = response.head;
  const { signal } = attempt.stop;
  if (response.notices.notRun) {
    return { kind: 'failed', failure: 'not-run', detail: `status ${status}` };
  }
  attempt.recordRun();
  if (delivery && status === 200) {
    const outcome = await delivery.forward(response, onEvents, signal, holding);
    return outcome.isOk() ? { kind: 'delivered' } : failureOfRead(outcome.error);
  }
  if (delivery?.started) return { kind: 'failed', failure: 'failed', detail: `status ${status}` };
  const read = await readResponse(response, holding);
  if (read.isErr()) return failureOfRead(read.error);
  const complete = read.value;
  if (status >= 500 && isRepeatable(call)) {
    return { kind: 'failed', failure: 'failed', detail: `status ${status}`, response: complete };
  }
  // Another attempt may have been chosen in the meantime.
  if (signal.aborted) return { kind: 'cancelled' };
  attempts.choose(attempt);
  sendResponse(complete, caller);
  return { kind: 'delivered' };
}

/** Passes the response of an attempt on to the caller, unless another attempt serves it. */

import type { RunningAttempt } from './attempts.js';
import { isRepeatable } from './call.js';
import { readResponse, sendResponse } from './outcome.js';
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
): Promise<AttemptOutcome> {
  const { call, caller, delivery, attempts } = state;
  const { status } = response.head;
  const { signal } = attempt.stop;
  if (response.notices.notRun) {
    return { kind: 'failed', failure: 'not-run', detail: `status ${status}` };
  }
  attempt.recordRun();
  if (delivery && status === 200) {
    const outcome = await delivery.forward(response, onEvents, signal);
    if (outcome === 'complete') return { kind: 'delivered' };
    return { kind: 'failed', failure: 'broken', detail: 'the stream broke off' };
  }
  if (delivery?.started) return { kind: 'failed', failure: 'failed', detail: `status ${status}` };
  const complete = await readResponse(response);
  if (!complete) return { kind: 'failed', failure: 'broken', detail: 'the answer broke off' };
  if (status >= 500 && isRepeatable(call)) {
    return { kind: 'failed', failure: 'failed', detail: `status ${status}`, response: complete };
  }
  // Another attempt may have been chosen in the meantime.
  if (signal.aborted) return { kind: 'cancelled' };
  attempts.choose(attempt);
  sendResponse(complete, caller);
  return { kind: 'delivered' };
}

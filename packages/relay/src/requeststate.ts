/** What is kept of one request over all of its attempts. */

import type { Millis } from '@tanagercart/base';
import type { Attempts } from './attempts.js';
import type { Exclusions } from './exclusions.js';
import type { Call, Caller } from './call.js';
import type { Holding } from './intake.js';
import type { CompleteResponse } from './outcome.js';
import type { RequestLog } from './requestlog.js';
import type { StreamDelivery } from './stream.js';

/** An error response of an upstream, and what is held for it. */
export interface KeptError {
  readonly response: CompleteResponse;
  readonly holding: Holding;
}

/** State of one request over all of its attempts. */
export interface RequestState {
  readonly call: Call;
  readonly caller: Caller;
  readonly attempts: Attempts;
  /** Time at which the request ends. */
  readonly deadline: Millis;
  readonly exclusions: Exclusions;
  /** Undefined where the response is not a stream. */
  readonly delivery: StreamDelivery | undefined;
  readonly log: RequestLog;
  /** The last complete error response; sent to the caller where no attempt succeeds. */
  keptError: KeptError | undefined;
  /** Whether an upstream crashed under the request when it, or a part, was suspected before. */
  mayCrashAgain: boolean;
}

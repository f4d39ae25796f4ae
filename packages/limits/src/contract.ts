/** What a client account may use under one tier. */

/** Seconds of its rates that an account may use at once after a pause. */
export const burstSeconds = 1;

/** The limits of one account and tier. */
export interface Quota {
  /** Requests in progress at once. */
  readonly concurrency: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

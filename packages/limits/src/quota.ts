/** The quota of a client account under one tier. */

/** Capacity of the buckets, in seconds of their rates: the burst that is allowed after a pause. */
export const burstSeconds = 1;

/** The limits that all nodes together enforce for one account and tier. */
export interface Quota {
  /** Requests in progress at the same time. */
  readonly concurrency: number;
  readonly requestsPerSecond: number;
  readonly tokensPerSecond: number;
}

/** The reasons for refusing a request and for retrying an attempt. */

/** All reasons for a refusal. The metrics count each separately. */
export const refusalReasons = [
  'unauthorised',
  'malformed',
  'unsupported',
  'not-found',
  'too-large',
  'headers-too-large',
  'prompt-too-large',
  'request-timeout',
  'slow-reader',
  'unknown-model',
  'unknown-tier',
  'unknown-service',
  'key-required',
  'key-conflict',
  'order-in-progress',
  'order-unknown',
  'account-limit',
  'no-replica',
  'promise-unreachable',
  'no-lease',
  'draining',
  'quarantined',
  'withdrawn',
  'owner-unreachable',
  'shared-state-unavailable',
  'upstream-failed',
  'retry-budget',
  'deadline',
  'internal',
] as const;

/** Why a request was refused. */
export type RefusalReason = (typeof refusalReasons)[number];

/** All reasons for a further attempt. The metrics count each separately. */
export const retryReasons = [
  'unreachable',
  'refused',
  'died-before-first',
  'died-mid-stream',
  'stalled',
  'corrupt',
  'preempted',
  'lost',
] as const;

/** Why an attempt was retried. */
export type RetryReason = (typeof retryReasons)[number];

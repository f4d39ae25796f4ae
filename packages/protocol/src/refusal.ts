/** Why requests are refused, and why attempts are repeated. */

/** Every reason for a refusal; one counter stands for each. */
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

/** Every reason for a further attempt; one counter stands for each. */
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

/** Why an attempt was followed by another. */
export type RetryReason = (typeof retryReasons)[number];

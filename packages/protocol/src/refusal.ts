/** Why requests are refused. */

/** Why a request was refused. One counter stands for each. */
export type RefusalReason =
  | 'unauthorised'
  | 'malformed'
  | 'too-large'
  | 'unknown-model'
  | 'unknown-tier'
  | 'unknown-service'
  | 'key-required'
  | 'key-conflict'
  | 'order-in-progress'
  | 'order-unknown'
  | 'account-limit'
  | 'no-replica'
  | 'promise-unreachable'
  | 'no-lease'
  | 'draining'
  | 'quarantined'
  | 'withdrawn'
  | 'owner-unreachable'
  | 'shared-state-unavailable'
  | 'upstream-failed'
  | 'retry-budget'
  | 'deadline';

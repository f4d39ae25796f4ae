/** Messages between entries and the owners of replicas. */

import type {
  AccountId,
  Digest,
  GrantId,
  ModelId,
  NodeId,
  ReplicaId,
  RequestId,
  TierId,
  UpstreamId,
} from '@tanagercart/base';
import type { RefusalReason } from './refusal.js';

/** Asks the owner of a model's replicas for a slot on one of them. */
export interface AcquireCall {
  readonly request: RequestId;
  readonly attempt: number;
  readonly account: AccountId;
  readonly tier: TierId;
  readonly model: ModelId;
  readonly version: string | undefined;
  readonly adapter: string | undefined;
  /** Number of the release by which the request was admitted. */
  readonly release: number;
  /** Digests of the leading blocks of the prompt, shortest prefix first. */
  readonly prefix: readonly Digest[];
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Time left until the deadline for the first token, in milliseconds. */
  readonly budgetMs: number;
  /** Replicas to exclude because earlier attempts failed there. */
  readonly avoid: readonly ReplicaId[];
  /** Whether the entry can ask other owners: the owner then refuses instead of a long wait. */
  readonly othersLeft?: boolean;
  /** How often an owner has already preempted a grant of this request. */
  readonly preemptions?: number;
  /** Tokens that earlier attempts of the request generated. */
  readonly passedTokens?: number;
}

/** An owner's reply. A queued caller asks again, with the same request and attempt. */
export type AcquireReply = (
  | { readonly kind: 'queued'; readonly againMs: number }
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number }
) &
  RoomHint;

/** Free capacity of an owner, sent with each reply so that entries can choose between owners. */
export interface RoomHint {
  /** Slots that requests of the call's tier may use now, less the requests queued before them. */
  readonly room?: number;
}

/** Permission to run one attempt on one replica. */
export interface Grant {
  readonly id: GrantId;
  readonly replica: ReplicaId;
  readonly owner: NodeId;
  /** Fencing token: the epoch of the owner's lease. */
  readonly epoch: number;
  /** The attempt must start within this many milliseconds after the grant was given. */
  readonly startWithinMs: number;
  /** Priority for the engine; a lower number runs first. */
  readonly priority: number;
  readonly stages: readonly GrantedStage[];
}

/** One stage of the chain of a grant. The chain is in order of layers. */
export interface GrantedStage {
  readonly upstream: UpstreamId;
  readonly url: string;
  /** First layer held, inclusive. */
  readonly from: number;
  /** Last layer held, exclusive. */
  readonly to: number;
}

/** Returns a grant to its owner. */
export interface ReleaseCall {
  readonly grant: GrantId;
  readonly end: AttemptEnd;
  /** Tokens that the attempt generated. */
  readonly tokens: number;
  /** Time to first token, in milliseconds; undefined if there was none. */
  readonly firstTokenMs: number | undefined;
}

/** How an attempt ended, as the entry observed it. */
export type AttemptEnd = 'complete' | 'cancelled' | 'refused' | 'failed' | 'preempted';

/** The reply to a `ReleaseCall`. */
export interface ReleaseReply {
  /** Whether the owner still had the grant on record. */
  readonly known: boolean;
}

/** Asks an entry which of these grants it holds; the owner releases the others. */
export interface AuditCall {
  readonly grants: readonly GrantId[];
}

/** Those of the grants that the entry holds. */
export interface AuditReply {
  readonly held: readonly GrantId[];
}

/** Informs an entry that the owner preempts a grant for more urgent work. */
export interface PreemptCall {
  readonly grant: GrantId;
}

/** The reply to a `PreemptCall`. */
export interface PreemptReply {
  /** Whether the grant was in use: its attempt is cancelled and resumes under another grant. */
  readonly known: boolean;
}

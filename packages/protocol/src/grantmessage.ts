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
  /** Number of the release under which the request is judged. */
  readonly release: number;
  /** Digests of the prompt's leading blocks, shortest first. */
  readonly prefix: readonly Digest[];
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Milliseconds left of the promise for the first token. */
  readonly budgetMs: number;
  /** Replicas not to use, as earlier attempts failed there. */
  readonly avoid: readonly ReplicaId[];
  /** Whether the entry has other owners to ask, so that a long wait is better refused at once. */
  readonly othersLeft?: boolean;
  /** How often an owner has already taken a grant of this request back. */
  readonly preemptions?: number;
  /** Tokens that earlier attempts of the request generated. */
  readonly passedTokens?: number;
}

/** An owner's answer. A queued caller asks again with the same request and attempt. */
export type AcquireReply = (
  | { readonly kind: 'queued'; readonly againMs: number }
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number }
) &
  RoomHint;

/** What an owner tells of its load with each reply. */
export interface RoomHint {
  /** Slots that work of the call's tier may have now, less the requests that wait before it. */
  readonly room?: number;
}

/** Permission to run one attempt on one replica. */
export interface Grant {
  readonly id: GrantId;
  readonly replica: ReplicaId;
  readonly owner: NodeId;
  /** Fencing number: the epoch of the owner's lease. */
  readonly epoch: number;
  /** The grant must be used within this many milliseconds of being given. */
  readonly startWithinMs: number;
  /** Priority for the engine; lower runs first. */
  readonly priority: number;
  readonly stages: readonly GrantedStage[];
}

/** One stage of the chain that a grant names, in order of layers. */
export interface GrantedStage {
  readonly upstream: UpstreamId;
  readonly url: string;
  /** First layer held, inclusive. */
  readonly from: number;
  /** Last layer held, exclusive. */
  readonly to: number;
}

/** Gives a grant back to its owner. */
export interface ReleaseCall {
  readonly grant: GrantId;
  readonly end: AttemptEnd;
  readonly tokens: number;
  readonly firstTokenMs: number | undefined;
}

/** How an attempt ended, as the entry saw it. */
export type AttemptEnd = 'complete' | 'cancelled' | 'refused' | 'failed' | 'preempted';

export interface ReleaseReply {
  readonly known: boolean;
}

/** Tells an entry that the owner takes a grant back for more urgent work. */
export interface PreemptCall {
  readonly grant: GrantId;
}

export interface PreemptReply {
  /** Whether the grant was in use; its attempt is cancelled, and resumes under another grant. */
  readonly known: boolean;
}

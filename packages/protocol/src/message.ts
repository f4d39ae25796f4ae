/** Messages between the nodes. Every exchange is one call and one reply. */

import type {
  AccountId,
  DataCentreId,
  Digest,
  GrantId,
  ModelId,
  NodeId,
  ReplicaId,
  RequestId,
  TierId,
  UpstreamId,
} from '@tanagercart/base';

/** Where a node is reached, and where it stands. */
export interface NodeAddress {
  readonly id: NodeId;
  readonly dataCentre: DataCentreId;
  /** `host:port` for the other nodes. */
  readonly peer: string;
  /** Base URL for callers. */
  readonly entry: string;
}

/** One record of the replicated log; `payload` is opaque to the log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: LogPayload;
}

/** What a log entry carries. */
export type LogPayload =
  | { readonly kind: 'noop' }
  | {
      readonly kind: 'voters';
      readonly voters: readonly NodeId[];
      readonly learners: readonly NodeId[];
    }
  | { readonly kind: 'command'; readonly bytes: Uint8Array };

/** Asks for a vote, or (`pre`) whether one would be given. */
export interface VoteCall {
  readonly term: number;
  readonly candidate: NodeId;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly pre: boolean;
  /** Set after a leadership transfer: overrides the lease of the old leader. */
  readonly transfer: boolean;
}

export interface VoteReply {
  readonly term: number;
  readonly granted: boolean;
}

/** Replicates entries, and serves as the leader's heartbeat when `entries` is empty. */
export interface AppendCall {
  readonly term: number;
  readonly leader: NodeId;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commit: number;
}

export interface AppendReply {
  readonly term: number;
  readonly ok: boolean;
  /** The last index known to match, or a hint where to try next. */
  readonly lastIndex: number;
}

/** Sends a part of a snapshot to a node whose log ends before the leader's log begins. */
export interface SnapshotCall {
  readonly term: number;
  readonly leader: NodeId;
  readonly index: number;
  readonly indexTerm: number;
  readonly voters: readonly NodeId[];
  readonly learners: readonly NodeId[];
  readonly offset: number;
  readonly data: Uint8Array;
  readonly done: boolean;
}

export interface SnapshotReply {
  readonly term: number;
  /** Bytes held so far; the next part starts here. */
  readonly held: number;
}

/** Hands leadership to the receiver, which starts an election at once. */
export interface TransferCall {
  readonly term: number;
}

export interface TransferReply {
  readonly ok: boolean;
}

/** Proposes a command to the leader; the reply comes once it is committed and applied. */
export interface ProposeCall {
  readonly bytes: Uint8Array;
}

export type ProposeReply =
  | { readonly kind: 'applied'; readonly index: number; readonly outcome: Uint8Array }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Asks a parent for committed state after `applied`, and for a configuration lease. */
export interface FollowCall {
  readonly node: NodeAddress;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  /** Last index applied by the caller. */
  readonly applied: number;
  /** Whether the caller refuses new work because it is shutting down. */
  readonly draining: boolean;
  /** Nodes that follow through the caller, with what each has applied. */
  readonly below: readonly FollowerReport[];
}

/** What a node tells its parent about a node below it. */
export interface FollowerReport {
  readonly node: NodeAddress;
  readonly incarnation: string;
  readonly applied: number;
  readonly draining: boolean;
  /** Age of this report in milliseconds. */
  readonly ageMs: number;
}

export type FollowReply =
  | {
      readonly kind: 'state';
      /** Committed commands after `applied`, in order. */
      readonly commands: readonly CommittedCommand[];
      readonly snapshot: StateSnapshot | undefined;
      /** Index up to which the caller must have applied before it may use the lease. */
      readonly upTo: number;
      /** Length of the lease in milliseconds, counted from when the call was sent. */
      readonly leaseMs: number;
    }
  | { readonly kind: 'elsewhere'; readonly parent: NodeId | undefined };

/** Asks the leader which nodes do not have the command at `index` in force. */
export interface ProgressCall {
  readonly index: number;
}

export type ProgressReply =
  | { readonly kind: 'in-force' }
  | { readonly kind: 'pending'; readonly waitingFor: readonly NodeId[]; readonly atMostMs: number }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined };

/** A command with its place in the log. */
export interface CommittedCommand {
  readonly index: number;
  readonly bytes: Uint8Array;
}

/** The whole replicated state at an index. */
export interface StateSnapshot {
  readonly index: number;
  readonly bytes: Uint8Array;
}

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
}

export type AcquireReply =
  | { readonly kind: 'granted'; readonly grant: Grant }
  | { readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number };

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

/** Passes on what an upstream announced to another node. */
export interface AnnounceCall {
  readonly upstream: UpstreamId;
  readonly body: string;
}

export interface AnnounceReply {
  readonly ok: boolean;
}

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

/** Every kind of exchange with its call and its reply. */
export interface Exchanges {
  vote: { call: VoteCall; reply: VoteReply };
  append: { call: AppendCall; reply: AppendReply };
  snapshot: { call: SnapshotCall; reply: SnapshotReply };
  transfer: { call: TransferCall; reply: TransferReply };
  propose: { call: ProposeCall; reply: ProposeReply };
  follow: { call: FollowCall; reply: FollowReply };
  progress: { call: ProgressCall; reply: ProgressReply };
  acquire: { call: AcquireCall; reply: AcquireReply };
  release: { call: ReleaseCall; reply: ReleaseReply };
  announce: { call: AnnounceCall; reply: AnnounceReply };
}

/** The name of an exchange. */
export type ExchangeKind = keyof Exchanges;
export type CallOf<K extends ExchangeKind> = Exchanges[K]['call'];
export type ReplyOf<K extends ExchangeKind> = Exchanges[K]['reply'];

/** Messages of the replicated log. */

import type { NodeId } from '@tanagercart/base';

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

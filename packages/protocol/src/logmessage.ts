/** Messages of the replicated log. */

import type { NodeId } from '@tanagercart/base';

/** One record of the replicated log; `payload` is opaque to the log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: LogPayload;
}

/** A node together with the disk on which it keeps the log; another disk is another member. */
export interface Member {
  readonly id: NodeId;
  /** The name that was drawn when the disk was empty. */
  readonly disk: string;
}

/** Who votes in the replicated log, and who only receives it. */
export interface VoterConfig {
  readonly voters: readonly Member[];
  readonly learners: readonly Member[];
}

/** What a log entry carries. */
export type LogPayload =
  | { readonly kind: 'noop' }
  | { readonly kind: 'voters'; readonly config: VoterConfig }
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
  /** The voter's disk; a vote from another disk than the voter set names does not count. */
  readonly disk: string;
  readonly granted: boolean;
}

/** Replicates entries, and serves as the leader's heartbeat when `entries` is empty. */
export interface AppendCall {
  readonly term: number;
  readonly leader: NodeId;
  /** The disk that the entries are meant for. */
  readonly disk: string;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commit: number;
}

export interface AppendReply {
  readonly term: number;
  readonly disk: string;
  readonly ok: boolean;
  /** The last index known to match, or a hint where to try next. */
  readonly lastIndex: number;
}

/** Sends a part of a snapshot to a node whose log ends before the leader's log begins. */
export interface SnapshotCall {
  readonly term: number;
  readonly leader: NodeId;
  readonly disk: string;
  readonly index: number;
  readonly indexTerm: number;
  readonly config: VoterConfig;
  readonly offset: number;
  readonly data: Uint8Array;
  readonly done: boolean;
}

export interface SnapshotReply {
  readonly term: number;
  readonly disk: string;
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

/** Asks a node about its disk, before it is made a voter. */
export interface InspectCall {
  readonly from: NodeId;
}

export interface InspectReply {
  readonly disk: string;
  /** Whether the disk holds neither entries nor a snapshot. */
  readonly empty: boolean;
  /** Whether the node knows with whom it forms the log at the first start of all. */
  readonly forms: boolean;
  readonly term: number;
}

/** Changes or shows the voter set, by way of the leader. */
export type VotersCall =
  { readonly action: 'add' | 'remove'; readonly node: NodeId } | { readonly action: 'show' };

export type VotersReply =
  | { readonly kind: 'changed'; readonly config: VoterConfig }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'refused'; readonly reason: string }
  /** The change may or may not come into force. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Proposes a command to the leader; the reply comes once it is committed and applied. */
export interface ProposeCall {
  readonly bytes: Uint8Array;
}

export type ProposeReply =
  | { readonly kind: 'applied'; readonly index: number; readonly outcome: Uint8Array }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

/** Messages of the replicated log (Raft). */

import type { NodeId } from '@tanagercart/base';

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: LogPayload;
}

/**
 * A node together with the disk that stores its log. A node with a new disk is a different member,
 * because it may have lost entries and votes that it had acknowledged.
 */
export interface Member {
  readonly id: NodeId;
  /** Identifier of the disk, drawn at random when its data folder was empty. */
  readonly disk: string;
}

/** The members that vote, and those that only receive the log. */
export interface VoterConfig {
  readonly voters: readonly Member[];
  readonly learners: readonly Member[];
}

/** The content of a log entry. The log does not interpret the bytes of a command. */
export type LogPayload =
  | { readonly kind: 'noop' }
  | { readonly kind: 'voters'; readonly config: VoterConfig }
  | { readonly kind: 'command'; readonly bytes: Uint8Array };

/** Requests a vote, or with `pre` (pre-vote) asks whether one would be granted. */
export interface VoteCall {
  readonly term: number;
  readonly candidate: NodeId;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly pre: boolean;
  /** Set after a leadership transfer, in which case the lease of the old leader does not apply. */
  readonly transfer: boolean;
}

/** The reply to a `VoteCall`. */
export interface VoteReply {
  readonly term: number;
  /** The voter's disk. A vote counts only if the voter set names this disk. */
  readonly disk: string;
  readonly granted: boolean;
}

/** Replicates entries; without entries, it is the leader's heartbeat. */
export interface AppendCall {
  readonly term: number;
  readonly leader: NodeId;
  /** The disk of the follower for which the entries are meant. */
  readonly disk: string;
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commit: number;
}

/** The reply to an `AppendCall`. */
export interface AppendReply {
  readonly term: number;
  readonly disk: string;
  readonly ok: boolean;
  /** If `ok`, the last index known to match; otherwise a hint for the index to try next. */
  readonly lastIndex: number;
}

/** Sends a part of a snapshot to a follower whose log ends before the leader's log begins. */
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

/** The reply to a `SnapshotCall`. */
export interface SnapshotReply {
  readonly term: number;
  readonly disk: string;
  /** Bytes received so far, which is the offset of the next part. */
  readonly held: number;
}

/** Transfers leadership to the receiver, which starts an election at once. */
export interface TransferCall {
  readonly term: number;
}

/** The reply to a `TransferCall`. */
export interface TransferReply {
  readonly ok: boolean;
}

/** Asks a node about its disk before the node becomes a voter. */
export interface InspectCall {
  readonly from: NodeId;
}

/** The reply to an `InspectCall`. */
export interface InspectReply {
  readonly disk: string;
  /** Whether the disk has neither entries nor a snapshot. */
  readonly empty: boolean;
  /** Whether the node has the list of initial voters, with which it may form the log. */
  readonly forms: boolean;
  readonly term: number;
}

/** A change of the voter set by one node. */
export type VoterChange =
  | {
      readonly action: 'add';
      readonly node: NodeId;
      /** A voter that leaves first, if it does not answer and the others could not do without `node`. */
      readonly replaces?: NodeId | undefined;
    }
  | { readonly action: 'remove'; readonly node: NodeId };

/** Changes or shows the voter set through the leader. */
export type VotersCall = VoterChange | { readonly action: 'show' };

/** The reply to a `VotersCall`. */
export type VotersReply =
  | { readonly kind: 'changed'; readonly config: VoterConfig }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'refused'; readonly reason: string }
  /** The change may or may not be committed. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Proposes a command to the leader, which replies once the command is committed and applied. */
export interface ProposeCall {
  readonly bytes: Uint8Array;
}

/** The reply to a `ProposeCall`; `unknown` means that the command may still be committed. */
export type ProposeReply =
  | { readonly kind: 'applied'; readonly index: number; readonly outcome: Uint8Array }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined }
  | { readonly kind: 'unavailable'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string };

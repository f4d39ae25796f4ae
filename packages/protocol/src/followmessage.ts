/** Messages that distribute committed state and configuration leases over the fan-out tree. */

import type { NodeId } from '@tanagercart/base';
import type { NodeAddress } from './address.js';

/** Asks a parent for the committed state after `applied` and for a configuration lease. */
export interface FollowCall {
  readonly node: NodeAddress;
  /** Identifies the process: it differs after each restart. */
  readonly incarnation: string;
  /** Last log index that the caller has applied. */
  readonly applied: number;
  /** Lowest index applied among the caller and all nodes that may hold a lease from it. */
  readonly floor: number;
  /** Some of the nodes below the caller that have not applied more than `floor`. */
  readonly behind: readonly NodeId[];
  /** Hash of the voters that the caller received, so that only a changed set is sent again. */
  readonly votersMark: number;
  /** Time left of the caller's lease, in milliseconds. */
  readonly leaseLeftMs: number;
  /** Whether the caller refuses new work because it is shutting down. */
  readonly draining: boolean;
  /** Sequence number of the caller's calls; a gap means that a report was lost. */
  readonly seq: number;
  /** Whether `below` lists every node below the caller, or only changes since the last call. */
  readonly full: boolean;
  /** Nodes that follow the leader through the caller. */
  readonly below: readonly FollowerReport[];
  /** Nodes that no longer follow the leader through the caller. */
  readonly gone: readonly NodeId[];
  /** Loads of the caller and of the nodes below it. */
  readonly loads?: LoadDigest | undefined;
}

/** Loads of the nodes of a view, one byte each, ordered by node id; 0 means unknown. */
export interface LoadDigest {
  readonly view: number;
  readonly levels: Uint8Array;
}

/** A node's report to its parent about a node below it. */
export interface FollowerReport {
  readonly node: NodeAddress;
  readonly incarnation: string;
  readonly draining: boolean;
}

/** The parent's reply, or a redirect to another parent. */
export type FollowReply =
  | {
      readonly kind: 'state';
      /** Committed commands after `applied`, in order. */
      readonly commands: readonly CommittedCommand[];
      readonly snapshot: StateSnapshot | undefined;
      /** Index that the caller must have applied before it may use the lease. */
      readonly upTo: number;
      /** Length of the lease in milliseconds, from the time at which the call was sent. */
      readonly leaseMs: number;
      /** The nodes from the leader down to the parent, inclusive. */
      readonly path: readonly NodeId[];
      /** Whether the next call must list every node below the caller. */
      readonly wantsFull: boolean;
      /** Loads of all nodes. */
      readonly loads?: LoadDigest | undefined;
      /** The voters in the leader's log, if the caller does not have them yet. */
      readonly voters?: readonly NodeId[] | undefined;
    }
  | { readonly kind: 'elsewhere'; readonly parent: NodeId | undefined };

/** Asks the leader whether the command at `index` is in force on every node. */
export interface ProgressCall {
  readonly index: number;
}

/**
 * The leader's reply. `waitingFor` names nodes that have not applied the command; after `atMostMs`
 * the leases that predate it have expired, so that it is in force everywhere.
 */
export type ProgressReply =
  | { readonly kind: 'in-force' }
  | { readonly kind: 'pending'; readonly waitingFor: readonly NodeId[]; readonly atMostMs: number }
  | { readonly kind: 'not-leader'; readonly leader: NodeId | undefined };

/** A committed command and its log index. */
export interface CommittedCommand {
  readonly index: number;
  readonly bytes: Uint8Array;
}

/** The whole replicated state at a log index. */
export interface StateSnapshot {
  readonly index: number;
  readonly bytes: Uint8Array;
}

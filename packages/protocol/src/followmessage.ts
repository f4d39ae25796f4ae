/** Messages that spread committed state and configuration leases. */

import type { NodeId } from '@tanagercart/base';
import type { NodeAddress } from './address.js';

/** Asks a parent for committed state after `applied`, and for a configuration lease. */
export interface FollowCall {
  readonly node: NodeAddress;
  /** Differs for each start of the process. */
  readonly incarnation: string;
  /** Last index applied by the caller. */
  readonly applied: number;
  /** Least index applied by the caller and by every node that may hold a lease from it. */
  readonly floor: number;
  /** Some of the nodes below the caller that have applied no more than `floor`. */
  readonly behind: readonly NodeId[];
  /** Stands for the voters that the caller was told. */
  readonly votersMark: number;
  /** Milliseconds left of the caller's lease. */
  readonly leaseLeftMs: number;
  /** Whether the caller refuses new work because it is shutting down. */
  readonly draining: boolean;
  /** Counts the calls of the caller; a gap means that a report was lost. */
  readonly seq: number;
  /** Whether `below` lists every node below the caller, or only what is new since the last call. */
  readonly full: boolean;
  /** Nodes that follow through the caller. */
  readonly below: readonly FollowerReport[];
  /** Nodes that no longer follow through the caller. */
  readonly gone: readonly NodeId[];
  /** Loads of the caller and of the nodes below it. */
  readonly loads?: LoadDigest | undefined;
}

/** Loads of the nodes of a view, one byte each in the order of the nodes' names; 0 is unknown. */
export interface LoadDigest {
  readonly view: number;
  readonly levels: Uint8Array;
}

/** What a node tells its parent about a node below it. */
export interface FollowerReport {
  readonly node: NodeAddress;
  readonly incarnation: string;
  readonly draining: boolean;
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
      /** The nodes from the leader down to the parent, both included. */
      readonly path: readonly NodeId[];
      /** Whether the next call must list every node below the caller. */
      readonly wantsFull: boolean;
      /** Loads of all nodes. */
      readonly loads?: LoadDigest | undefined;
      /** The voters as the leader knows them, where the caller does not know them. */
      readonly voters?: readonly NodeId[] | undefined;
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

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

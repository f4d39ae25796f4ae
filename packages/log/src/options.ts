/** Options of a Raft node: its dependencies, and the timeouts and limits of the protocol. */

import type { Clock, Logger, Millis, NodeId, Random } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { Store } from './store.js';

/** Intervals and timeouts of the protocol, in milliseconds. */
export interface Timing {
  /** Interval at which the leader sends heartbeats. */
  readonly heartbeatMs: Millis;
  /**
   * The shortest election timeout. Each node draws its election timeout at random between this
   * value and twice this value, so that two nodes rarely become candidates at the same time.
   */
  readonly electionMs: Millis;
}

/** Timeouts for data centres that are within a few milliseconds of each other. */
export const defaultTiming: Timing = { heartbeatMs: 100, electionMs: 500 };

/** Limits on memory, on messages and on the growth of the log. */
export interface Limits {
  /** Maximum number of entries that are written with one sync or sent in one message. */
  readonly batchEntries: number;
  /** Maximum number of bytes that are written with one sync or in flight to one peer. */
  readonly batchBytes: number;
  /** Maximum number of bytes of queued proposals; further ones fail with `overloaded`. */
  readonly queueBytes: number;
  /** Bytes of applied entries after which a snapshot is taken. */
  readonly snapshotEveryBytes: number;
  /** Maximum number of bytes of a snapshot in one message. */
  readonly chunkBytes: number;
}

/** Limits for a state machine whose snapshot is a few megabytes. */
export const defaultLimits: Limits = {
  batchEntries: 1024,
  batchBytes: 1024 * 1024,
  queueBytes: 16 * 1024 * 1024,
  snapshotEveryBytes: 4 * 1024 * 1024,
  chunkBytes: 256 * 1024,
};

/** The state machine to which committed commands are applied in log order. */
export interface StateMachine {
  /** Applies the command at `index` and returns the outcome for its proposer. */
  apply(index: number, bytes: Uint8Array): Uint8Array;
  /** Serialises the state after the last applied command. */
  snapshot(): Uint8Array;
  /** Replaces the state by one that `snapshot` returned on this or another node. */
  restore(data: Uint8Array): void;
}

/** Options of `Raft.create`. */
export interface RaftOptions {
  readonly self: NodeId;
  /** The first voters of a new log; see `formsBy`. */
  readonly initialVoters: readonly NodeId[];
  /**
   * Which of the initial voters have to report empty disks before the log is formed. A `quorum` is
   * safe only where a node that has lost its disk does not get the list again. `all` by default.
   */
  readonly formsBy?: 'all' | 'quorum';
  readonly transport: Transport;
  readonly store: Store;
  readonly stateMachine: StateMachine;
  readonly clock: Clock;
  readonly random: Random;
  readonly timing: Timing;
  readonly limits: Limits;
  readonly logger: Logger;
  /** Called with an error thrown by a background task: a broken invariant or a bug. */
  readonly onBroken: (error: unknown) => void;
}

/** What a voter needs to run, and the delays and limits of the protocol. */

import type { Clock, Logger, Millis, NodeId, Random } from '@tanagercart/base';
import type { Transport } from '@tanagercart/protocol';
import type { Store } from './store.js';

/** Delays of the protocol, in milliseconds. */
export interface Timing {
  readonly heartbeatMs: Millis;
  /** Least time without a leader before an election; the most is twice that. */
  readonly electionMs: Millis;
}

/** Timing for data centres within a few milliseconds of each other. */
export const defaultTiming: Timing = { heartbeatMs: 100, electionMs: 500 };

/** Bounds on memory, messages and files. */
export interface Limits {
  /** Entries written with one sync, or sent in one message, at most. */
  readonly batchEntries: number;
  /** Bytes written with one sync, or in flight to one peer, at most. */
  readonly batchBytes: number;
  /** Bytes of proposals that wait for the disk; more are refused. */
  readonly queueBytes: number;
  /** Bytes of entries after which a snapshot is taken. */
  readonly snapshotEveryBytes: number;
  /** Bytes of a snapshot in one message. */
  readonly chunkBytes: number;
}

/** Limits for a state of some megabytes. */
export const defaultLimits: Limits = {
  batchEntries: 1024,
  batchBytes: 1024 * 1024,
  queueBytes: 16 * 1024 * 1024,
  snapshotEveryBytes: 4 * 1024 * 1024,
  chunkBytes: 256 * 1024,
};

/** What the log drives: applies committed commands in order. */
export interface StateMachine {
  /** Applies a command; the outcome goes to its proposer. */
  apply(index: number, bytes: Uint8Array): Uint8Array;
  /** The state after all commands that were applied. */
  snapshot(): Uint8Array;
  /** Takes over a state that `snapshot` returned, here or elsewhere. */
  restore(data: Uint8Array): void;
}

/** What a voter needs to run. */
export interface RaftOptions {
  readonly self: NodeId;
  /** The nodes that form a new log together, once all of them answer that their disks are empty. */
  readonly initialVoters: readonly NodeId[];
  readonly transport: Transport;
  readonly store: Store;
  readonly stateMachine: StateMachine;
  readonly clock: Clock;
  readonly random: Random;
  readonly timing: Timing;
  readonly limits: Limits;
  readonly logger: Logger;
  readonly onBroken: (error: unknown) => void;
}

/** Runs a voter on its disk, and opens the disk again after it has failed. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Bell } from '@tanagercart/base';
import type { Clock, Logger, Millis, NodeId, Random } from '@tanagercart/base';
import { DiskStore, Raft, defaultLimits, loadOrStoreInitialVoters } from '@tanagercart/log';
import type { Disk, ProposeError, StoreError, Timing } from '@tanagercart/log';
import type { Transport } from '@tanagercart/protocol';
import { decodeOutcome, encodeCommand } from './command.js';
import type { Command, Outcome } from './command.js';
import { CommitTimes } from './committimes.js';
import { FleetState } from './state.js';

/** Delay before a failed disk is opened again. */
const reopenDelayMs: Millis = 1000;

/** Interval at which the disk is checked for failure. */
const pollMs: Millis = 250;

/**
 * A new leader has to be elected well within the lease of the entries (seconds). But the election
 * timeout has to be longer than any step in which a small machine answers nobody, such as the check
 * of a large document.
 */
const timing: Timing = { heartbeatMs: 100, electionMs: 700 };

/** After this silence, three heartbeats, a follower does not name the leader to others. */
const leaderSilenceMs: Millis = 3 * timing.heartbeatMs;

/** Size of a segment of the log, and growth of the log between snapshots. The disks are small. */
const segmentBytes = 1024 * 1024;

/** Why a command was not committed, or is not known to be. */
export type CommitError = ProposeError;

export interface VoterOptions {
  readonly self: NodeId;
  /**
   * Nodes that form the log when the cluster is started for the first time. The disk stores them,
   * so that a node that stops before the log is formed can form it at its next start.
   */
  readonly initial: readonly NodeId[];
  readonly disk: Disk;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onBroken: (error: unknown) => void;
}

/** A voter and the state that it has applied. */
export class Voter {
  /** Signals each change of the state. */
  readonly changed = Bell.create();
  /** Since when this node knows documents to be committed. */
  readonly commitTimes: CommitTimes;
  private currentState = FleetState.create();
  private log: Raft | undefined;

  private constructor(private readonly o: VoterOptions) {
    this.commitTimes = CommitTimes.create(o.clock);
  }

  static create(options: VoterOptions): Voter {
    return new Voter(options);
  }

  /** The state as far as this node has applied the log; replaced when the disk is reopened. */
  get state(): FleetState {
    return this.currentState;
  }

  /** The replicated log; undefined while the disk cannot be used. */
  get raft(): Raft | undefined {
    return this.log;
  }

  /** Whether this node is the leader and holds the lease, so that no other node can lead. */
  get isLeader(): boolean {
    return this.log?.holdsLease ?? false;
  }

  /** Whether the voter set contains this node with its present disk. */
  get isVoter(): boolean {
    const { log } = this;
    return (
      log?.voterConfig.voters.some((m) => m.id === this.o.self && m.disk === log.diskId) ?? false
    );
  }

  /** The leader, as far as this node knows. */
  get leader(): NodeId | undefined {
    return this.isLeader ? this.o.self : this.log?.leader;
  }

  /** The leader, if this node has heard from it so lately that it is probably running. */
  get liveLeader(): NodeId | undefined {
    return this.log?.leaderWithin(leaderSilenceMs);
  }

  /** Voters and learners of the log, as far as this node knows. */
  get members(): readonly NodeId[] {
    const { voters, learners } = this.log?.voterConfig ?? { voters: [], learners: [] };
    return [...voters, ...learners].map((m) => m.id);
  }

  /** Opens the disk, and opens it again whenever it has failed, until `stop` is aborted. */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, logger } = this.o;
    while (!stop.aborted) {
      const opened = await this.open();
      if (opened.isErr()) {
        logger.error('Cannot use the data folder.', { detail: opened.error.detail });
      }
      while (this.log && !this.log.diskFailed && !stop.aborted) await clock.sleep(pollMs, stop);
      if (this.log && !stop.aborted) logger.warn('The disk has failed; opening it again.');
      const failed = this.log;
      this.log = undefined;
      await failed?.stop();
      if (!stop.aborted) await clock.sleep(reopenDelayMs, stop);
    }
  }

  /**
   * Proposes a command to the log; resolves once it is applied. Only the leader accepts it, also
   * while its lease has lapsed, as a command takes effect by the votes of a quorum.
   */
  async propose(command: Command): Promise<Result<Outcome, CommitError>> {
    const { log } = this;
    if (!log) return err({ kind: 'not-leader', leader: this.leader });
    const applied = await log.propose(encodeCommand(command));
    return applied.map(({ outcome }) => decodeOutcome(outcome));
  }

  private async open(): Promise<Result<void, StoreError>> {
    const { disk, random, logger } = this.o;
    const store = await DiskStore.open({ disk, random, logger, segmentBytes });
    if (store.isErr()) return err(store.error);
    const initial = await loadOrStoreInitialVoters(disk, this.o.initial);
    if (initial.isErr()) return err(initial.error);
    const { hardState, lastIndex } = store.value;
    logger.info('Opened the data folder.', { term: hardState.term, lastIndex });
    const state = FleetState.create();
    state.onChange = () => {
      this.commitTimes.record(state.document.version);
      this.changed.ring();
    };
    this.currentState = state;
    const limits = { ...defaultLimits, snapshotEveryBytes: segmentBytes };
    this.log = Raft.create({
      ...this.o,
      initialVoters: initial.value,
      formsBy: 'quorum',
      store: store.value,
      stateMachine: state,
      timing,
      limits,
    });
    return ok(undefined);
  }
}

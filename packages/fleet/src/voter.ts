/** Keeps a voter running on its disk: opens it again after the disk has failed. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { Bell } from '@tanagercart/base';
import type { Clock, Logger, Millis, NodeId, Random } from '@tanagercart/base';
import { DiskStore, Raft, defaultLimits, resolveInitialVoters } from '@tanagercart/log';
import type { Disk, ProposeError, StoreError, Timing } from '@tanagercart/log';
import type { Transport } from '@tanagercart/protocol';
import { decodeOutcome, encodeCommand } from './command.js';
import type { Command, Outcome } from './command.js';
import { FleetState } from './state.js';

/** Pause before a disk that failed is opened again. */
const reopenMs: Millis = 1000;

/** How often the disk is looked after. */
const lookMs: Millis = 250;

/** Leaders are found again fast, as entries lose their lease without one. */
const timing: Timing = { heartbeatMs: 80, electionMs: 350 };

/** Segments of the log are kept small, as disks are. */
const segmentBytes = 1024 * 1024;

/** Why a command was not carried out. */
export type SubmitError = ProposeError;

export interface VoterOptions {
  readonly self: NodeId;
  /** Nodes that form the log at the first start of all; the disk remembers them for later ones. */
  readonly initial: readonly NodeId[];
  readonly disk: Disk;
  readonly transport: Transport;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onBroken: (error: unknown) => void;
}

/** One voter and the state that it has applied. */
export class Voter {
  /** Rings after each change of the state. */
  readonly changed = Bell.create();
  private held = FleetState.create();
  private log: Raft | undefined;

  private constructor(private readonly o: VoterOptions) {}

  static create(options: VoterOptions): Voter {
    return new Voter(options);
  }

  get state(): FleetState {
    return this.held;
  }

  /** The log; undefined while the disk cannot be used. */
  get raft(): Raft | undefined {
    return this.log;
  }

  /** Whether this node leads, and no other can. */
  get leads(): boolean {
    return this.log?.holdsLease ?? false;
  }

  /** Whether this node votes, with the disk that it has. */
  get votes(): boolean {
    const { log } = this;
    return (
      log?.voterConfig.voters.some((m) => m.id === this.o.self && m.disk === log.diskId) ?? false
    );
  }

  get leader(): NodeId | undefined {
    return this.leads ? this.o.self : this.log?.leader;
  }

  /** Voters and learners of the log, as far as this node knows. */
  get members(): readonly NodeId[] {
    const { voters, learners } = this.log?.voterConfig ?? { voters: [], learners: [] };
    return [...voters, ...learners].map((m) => m.id);
  }

  /** Task: opens the disk, and opens it again whenever it has failed. */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, logger } = this.o;
    while (!stop.aborted) {
      const opened = await this.open();
      if (opened.isErr()) {
        logger.error('Cannot use the data folder.', { detail: opened.error.detail });
      }
      while (this.log && !this.log.diskFailed && !stop.aborted) await clock.sleep(lookMs, stop);
      if (this.log && !stop.aborted) logger.warn('The disk has failed, opening it again.');
      const failed = this.log;
      this.log = undefined;
      await failed?.stop();
      if (!stop.aborted) await clock.sleep(reopenMs, stop);
    }
  }

  /** Commits a command at the leader. */
  async propose(command: Command): Promise<Result<Outcome, SubmitError>> {
    const { log } = this;
    if (!log || !this.leads) return err({ kind: 'not-leader', leader: this.leader });
    const applied = await log.propose(encodeCommand(command));
    return applied.map(({ outcome }) => decodeOutcome(outcome));
  }

  private async open(): Promise<Result<void, StoreError>> {
    const { disk, random, logger } = this.o;
    const store = await DiskStore.open({ disk, random, logger, segmentBytes });
    if (store.isErr()) return err(store.error);
    const initial = await resolveInitialVoters(disk, this.o.initial);
    if (initial.isErr()) return err(initial.error);
    const { hardState, lastIndex } = store.value;
    logger.info('Opened the data folder.', { term: hardState.term, lastIndex });
    const state = FleetState.create();
    state.onChange = () => this.changed.ring();
    this.held = state;
    const limits = { ...defaultLimits, snapshotEveryBytes: segmentBytes };
    this.log = Raft.create({
      ...this.o,
      initialVoters: initial.value,
      store: store.value,
      stateMachine: state,
      timing,
      limits,
    });
    return ok(undefined);
  }
}

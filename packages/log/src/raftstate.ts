/** State that the components of a Raft node share: role, term, voter set and the write queue. */

import { Bell, Serial, TaskGroup, invariant, createStopController } from '@tanagercart/base';
import type { Millis, NodeId } from '@tanagercart/base';
import type { Result } from 'neverthrow';
import type { RaftOptions } from './options.js';
import type { Store, StoreError } from './store.js';
import { VoterSet } from './voterset.js';

/** Role of a node in its current term. */
export type Role = 'follower' | 'candidate' | 'leader';

/** Shared state of one node. */
export class RaftState {
  role: Role = 'follower';
  leader: NodeId | undefined;
  /**
   * Start of the running election timer: the last time at which this node received a call from a
   * leader, granted its vote, became a candidate or became a follower, or as a leader checked
   * whether a quorum answers.
   */
  timerAt: Millis;
  /** Set while this leader transfers leadership; it then accepts no proposals and has no lease. */
  transferring = false;
  /**
   * Set once writing to the disk has failed; this node then no longer votes, leads or acknowledges
   * entries.
   */
  failed = false;
  /** Notified when there is something to send. */
  readonly sendDue = Bell.create();
  /** Notified when role, leader, commit index or a peer's progress has changed. */
  readonly changed = Bell.create();
  readonly stopping = createStopController();
  readonly tasks: TaskGroup;
  readonly voters: VoterSet;
  /** Called when this node steps down as the leader. */
  onStepDown: (() => void) | undefined;
  /**
   * Time since which this voter has promised to elect no other leader: its last answer to a call of
   * a leader. No change of term ends the promise, as that leader may still rely on it.
   */
  private promisedAt: Millis;
  private readonly writes = Serial.create();

  private constructor(readonly o: RaftOptions) {
    this.timerAt = o.clock.now();
    // A voter that was restarted does not know to which leader it last replied.
    this.promisedAt = o.store.hardState.term > 0 ? this.timerAt : -Infinity;
    this.tasks = TaskGroup.create(o.onBroken);
    this.voters = VoterSet.create(o.store);
  }

  static create(options: RaftOptions): RaftState {
    return new RaftState(options);
  }

  get store(): Store {
    return this.o.store;
  }

  get term(): number {
    return this.o.store.hardState.term;
  }

  get stopped(): boolean {
    return this.stopping.signal.aborted;
  }

  /** Whether this node votes, with the disk that it has. */
  get isVoter(): boolean {
    return this.voters.isVoter(this.o.self, this.store.diskId);
  }

  /** Whether this node is running and is the leader of `term`. */
  leads(term: number): boolean {
    return this.role === 'leader' && this.term === term && !this.stopped;
  }

  /** Whether a leader, of whatever term, may hold a lease that relies on this voter's last reply. */
  get isBoundByLease(): boolean {
    return this.promisedAt + this.o.timing.electionMs > this.o.clock.now();
  }

  /** Runs `step` after every earlier step that writes to the store. */
  exclusive<T>(step: () => Promise<T>): Promise<T> {
    return this.writes.run(step);
  }

  /** Becomes a follower of `leader` on its call, and promises to elect no other for a while. */
  follow(leader: NodeId): void {
    this.stepDown(leader);
    this.promisedAt = this.timerAt;
  }

  /** Becomes a follower of `leader`, where one is known. */
  stepDown(leader: NodeId | undefined): void {
    const led = this.role === 'leader';
    this.role = 'follower';
    this.leader = leader;
    this.timerAt = this.o.clock.now();
    if (led) this.onStepDown?.();
    this.changed.ring();
  }

  /**
   * Moves to `term` if it is later than the current one. Must be called within `exclusive`.
   * Returns false if the term could not be written.
   */
  async raiseTerm(term: number): Promise<boolean> {
    if (term <= this.term) return true;
    this.stepDown(undefined);
    return this.noteWrite(await this.store.saveTerm({ term, vote: undefined }));
  }

  /** Moves to `term`, received in a reply, if it is later than the current one. */
  observeTerm(term: number): Promise<boolean> {
    return this.exclusive(() => this.raiseTerm(term));
  }

  /**
   * Records the result of a write and returns whether it succeeded. After a failed write this node
   * no longer votes, leads or acknowledges entries.
   */
  noteWrite(written: Result<void, StoreError>): boolean {
    if (written.isOk()) return true;
    if (!this.failed && !this.stopped) {
      this.o.logger.error('The disk cannot be written, taking no part in the log.', {
        detail: written.error.detail,
      });
    }
    this.failed = true;
    this.stepDown(undefined);
    return false;
  }

  /** Makes this candidate the leader of its term. */
  becomeLeader(): void {
    invariant(this.role === 'candidate', 'only a candidate becomes the leader');
    this.role = 'leader';
    this.leader = this.o.self;
    this.transferring = false;
    this.changed.ring();
  }
}

/** What the tasks of a voter share: its role, its term, and the order of its writes. */

import { Bell, TaskGroup, invariant, createStop } from '@tanagercart/base';
import type { Millis, NodeId } from '@tanagercart/base';
import type { Result } from 'neverthrow';
import type { RaftOptions } from './options.js';
import type { Store, StoreError } from './store.js';
import { VoterSet } from './voterset.js';

/** What a voter is at the moment. */
export type Role = 'follower' | 'candidate' | 'leader';

/** Shared state of one voter. */
export class Core {
  role: Role = 'follower';
  leader: NodeId | undefined;
  /** When this voter last heard from a leader, gave its vote, or stood for election. */
  heardAt: Millis;
  /** Whether leadership is being handed over: no proposals, no lease. */
  handingOver = false;
  /** The disk has failed: this voter neither votes, leads nor acknowledges any more. */
  failed = false;
  /** Rings when there is something to send. */
  readonly wake = Bell.create();
  /** Rings when role, leader, commit index or a peer's progress has changed. */
  readonly changed = Bell.create();
  readonly stopping = createStop();
  readonly tasks: TaskGroup;
  readonly voters: VoterSet;
  /** Called when leadership is lost. */
  onDeposed: (() => void) | undefined;
  private readonly startedAt: Millis;
  private writing: Promise<unknown> = Promise.resolve();

  private constructor(readonly o: RaftOptions) {
    this.heardAt = o.clock.now();
    this.startedAt = this.heardAt;
    this.tasks = TaskGroup.create(o.onBroken);
    this.voters = VoterSet.create(o.store);
  }

  static create(options: RaftOptions): Core {
    return new Core(options);
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

  leads(term: number): boolean {
    return this.role === 'leader' && this.term === term && !this.stopped;
  }

  /** Whether a leader may hold a lease that rests on this voter's word; a restart forgets the word. */
  get mayBackLeader(): boolean {
    const now = this.o.clock.now();
    const { electionMs } = this.o.timing;
    if (this.startedAt + electionMs > now && this.store.hardState.term > 0) return true;
    return this.leader !== undefined && this.heardAt + electionMs > now;
  }

  /** Runs `step` after every earlier step that writes to the store. */
  exclusively<T>(step: () => Promise<T>): Promise<T> {
    const run = this.writing.then(step);
    this.writing = run.catch(() => undefined);
    return run;
  }

  /** Becomes a follower of `leader`, where one is known. */
  follow(leader: NodeId | undefined): void {
    const led = this.role === 'leader';
    this.role = 'follower';
    this.leader = leader;
    this.heardAt = this.o.clock.now();
    if (led) this.onDeposed?.();
    this.changed.ring();
  }

  /** Moves to a later term; to be called within `exclusively`. */
  async adoptTerm(term: number): Promise<boolean> {
    if (term <= this.term) return true;
    this.follow(undefined);
    return this.saved(await this.store.saveVote({ term, vote: undefined }));
  }

  /** Moves to a later term that a reply has told. */
  learnTerm(term: number): Promise<boolean> {
    return this.exclusively(() => this.adoptTerm(term));
  }

  /** Takes note of a write: after a failed one this voter takes no part any more. */
  saved(written: Result<void, StoreError>): boolean {
    if (written.isOk()) return true;
    if (!this.failed && !this.stopped) {
      this.o.logger.error('The disk cannot be written, taking no part in the log.', {
        detail: written.error.detail,
      });
    }
    this.failed = true;
    this.follow(undefined);
    return false;
  }

  /** Takes the lead of the term for which this candidate was elected. */
  becomeLeader(): void {
    invariant(this.role === 'candidate', 'only a candidate takes the lead');
    this.role = 'leader';
    this.leader = this.o.self;
    this.handingOver = false;
    this.changed.ring();
  }
}

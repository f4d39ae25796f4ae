/** Applies committed entries in order, settles their proposals, and takes snapshots. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { invariant } from '@tanagercart/base';
import type { LogEntry } from '@tanagercart/protocol';
import type { RaftState } from './raftstate.js';
import { entryBytes } from './entries.js';
import type { Snapshot } from './store.js';

/** Result of a proposal that was committed and applied. */
export interface AppliedProposal {
  readonly index: number;
  readonly outcome: Uint8Array;
}

/** Why a proposal was not acknowledged. */
export type ProposeError =
  /** This node is not the leader; the command was not appended to the log. */
  | { readonly kind: 'not-leader'; readonly leader: OptionalNodeId }
  /** Too many bytes of proposals are queued; the command was not appended to the log. */
  | { readonly kind: 'overloaded' }
  /**
   * The node lost leadership, could not write or was stopped; the command may or may not be
   * committed.
   */
  | { readonly kind: 'unknown' };

/** A node, or undefined if none is known. */
type OptionalNodeId = RaftState['leader'];

/** Called once with the result of a proposal. */
export type Settle = (result: Result<AppliedProposal, ProposeError>) => void;

interface PendingProposal {
  readonly term: number;
  readonly settle: Settle;
}

/** Tracks the commit index and applies the committed entries. */
export class Applier {
  /** The commit index, up to which all entries are also applied. */
  private committed: number;
  /** Bytes of the entries that were applied since the last snapshot. */
  private newBytes = 0;
  /** Proposals in the log that are not applied yet, by index. */
  private readonly pending = new Map<number, PendingProposal>();

  private constructor(private readonly state: RaftState) {
    const { snapshot } = state.store;
    this.committed = snapshot?.index ?? 0;
    if (snapshot) state.o.stateMachine.restore(snapshot.data);
    state.onStepDown = () => this.failPending();
  }

  /** Restores the state machine from the stored snapshot; entries are applied once committed. */
  static create(state: RaftState): Applier {
    return new Applier(state);
  }

  get commitIndex(): number {
    return this.committed;
  }

  /** Registers a proposal that is settled once the entry at `index` is applied. */
  addPending(index: number, term: number, settle: Settle): void {
    invariant(index > this.committed, 'a pending proposal is not committed yet');
    this.pending.set(index, { term, settle });
  }

  /** Raises the commit index to `index` and applies the entries up to there. */
  commitTo(index: number): void {
    const { store, changed, sendDue } = this.state;
    invariant(index <= store.lastIndex, 'only stored entries are committed');
    if (index <= this.committed) return;
    while (this.committed < index) {
      const [entry] = store.slice(this.committed + 1, 1, 0);
      invariant(entry?.index === this.committed + 1, 'entries are applied in order');
      this.committed = entry.index;
      this.applyEntry(entry);
    }
    changed.ring();
    sendDue.ring();
    if (this.newBytes >= this.state.o.limits.snapshotEveryBytes) this.takeSnapshot();
  }

  /** Restores the state machine from a leader's snapshot, which is already stored. */
  restoreSnapshot(snapshot: Snapshot): void {
    invariant(snapshot.index > this.committed, 'a snapshot never lowers the commit index');
    this.committed = snapshot.index;
    this.newBytes = 0;
    this.state.o.stateMachine.restore(snapshot.data);
    this.state.changed.ring();
  }

  /** Settles all pending proposals with an unknown outcome. */
  failPending(): void {
    for (const { settle } of this.pending.values()) settle(err({ kind: 'unknown' }));
    this.pending.clear();
  }

  private applyEntry(entry: LogEntry): void {
    this.newBytes += entryBytes(entry);
    const outcome =
      entry.payload.kind === 'command'
        ? this.state.o.stateMachine.apply(entry.index, entry.payload.bytes)
        : new Uint8Array();
    const proposal = this.pending.get(entry.index);
    if (!proposal) return;
    this.pending.delete(entry.index);
    invariant(proposal.term === entry.term, 'a proposal is settled by its own entry');
    proposal.settle(ok({ index: entry.index, outcome }));
  }

  private takeSnapshot(): void {
    const { state } = this;
    this.newBytes = 0;
    const index = this.committed;
    const term = state.store.termAt(index)!;
    const data = state.o.stateMachine.snapshot();
    const snapshot: Snapshot = { index, term, config: state.voters.configAt(index), data };
    state.tasks.start(() => state.exclusive(() => this.saveSnapshot(snapshot)));
  }

  /** Saves a snapshot and keeps the latest entries whose total size is at most the snapshot's. */
  private async saveSnapshot(snapshot: Snapshot): Promise<void> {
    const { store } = this.state;
    if (this.state.failed || snapshot.index <= (store.snapshot?.index ?? 0)) return;
    let keepFrom = snapshot.index + 1;
    let keptBytes = 0;
    while (keepFrom > store.firstIndex) {
      keptBytes += entryBytes(store.slice(keepFrom - 1, 1, 0)[0]!);
      if (keptBytes > snapshot.data.length) break;
      keepFrom -= 1;
    }
    this.state.noteWrite(await store.saveSnapshot(snapshot, keepFrom));
    this.state.o.logger.info('Took a snapshot.', { index: snapshot.index, keepFrom });
  }
}

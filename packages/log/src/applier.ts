/** Applies committed entries in order, answers their proposers, and takes snapshots. */

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { invariant } from '@tanagercart/base';
import type { LogEntry } from '@tanagercart/protocol';
import type { Core } from './core.js';
import { entryBytes } from './entries.js';
import type { Snapshot } from './store.js';

/** What became of a committed proposal. */
export interface AppliedProposal {
  readonly index: number;
  readonly outcome: Uint8Array;
}

/** Why a proposal was not applied here. */
export type ProposeError =
  /** Not the leader: the command was not put into the log. */
  | { readonly kind: 'not-leader'; readonly leader: NodeIdOrNone }
  /** Too many proposals wait: the command was not put into the log. */
  | { readonly kind: 'overloaded' }
  /** Leadership was lost: the command may or may not be committed later. */
  | { readonly kind: 'unknown' };

type NodeIdOrNone = Core['leader'];

/** Receives the outcome of a proposal. */
export type Settle = (result: Result<AppliedProposal, ProposeError>) => void;

interface Waiting {
  readonly term: number;
  readonly settle: Settle;
}

/** The committed part of a voter's log. */
export class Applier {
  private committed: number;
  private bytesSinceSnapshot = 0;
  private readonly waiting = new Map<number, Waiting>();

  private constructor(private readonly core: Core) {
    const { snapshot } = core.store;
    this.committed = snapshot?.index ?? 0;
    if (snapshot) core.o.stateMachine.restore(snapshot.data);
    core.onDeposed = () => this.failWaiting();
  }

  /** Restores the machine from the stored snapshot; the log is applied as it is committed. */
  static create(core: Core): Applier {
    return new Applier(core);
  }

  get commit(): number {
    return this.committed;
  }

  /** Settles a proposal once the entry at `index` is applied. */
  expect(index: number, term: number, settle: Settle): void {
    invariant(index > this.committed, 'a proposal waits for a later entry');
    this.waiting.set(index, { term, settle });
  }

  /** Applies everything up to `index`. */
  commitTo(index: number): void {
    const { store, changed, wake } = this.core;
    invariant(index <= store.lastIndex, 'only what is stored is committed');
    if (index <= this.committed) return;
    while (this.committed < index) {
      const [entry] = store.slice(this.committed + 1, 1, 0);
      invariant(entry?.index === this.committed + 1, 'entries are applied in order');
      this.committed = entry.index;
      this.applyEntry(entry);
    }
    changed.ring();
    wake.ring();
    if (this.bytesSinceSnapshot >= this.core.o.limits.snapshotEveryBytes) this.takeSnapshot();
  }

  /** Takes over a snapshot of a leader that is already stored. */
  restored(snapshot: Snapshot): void {
    invariant(snapshot.index > this.committed, 'a snapshot never takes the state back');
    this.committed = snapshot.index;
    this.bytesSinceSnapshot = 0;
    this.core.o.stateMachine.restore(snapshot.data);
    this.core.changed.ring();
  }

  /** Tells every waiting proposer that the outcome is unknown. */
  failWaiting(): void {
    for (const { settle } of this.waiting.values()) settle(err({ kind: 'unknown' }));
    this.waiting.clear();
  }

  private applyEntry(entry: LogEntry): void {
    this.bytesSinceSnapshot += entryBytes(entry);
    const outcome =
      entry.payload.kind === 'command'
        ? this.core.o.stateMachine.apply(entry.index, entry.payload.bytes)
        : new Uint8Array();
    const waiting = this.waiting.get(entry.index);
    if (!waiting) return;
    this.waiting.delete(entry.index);
    invariant(waiting.term === entry.term, 'a proposal is settled by its own entry');
    waiting.settle(ok({ index: entry.index, outcome }));
  }

  private takeSnapshot(): void {
    const { core } = this;
    this.bytesSinceSnapshot = 0;
    const index = this.committed;
    const term = core.store.termAt(index)!;
    const data = core.o.stateMachine.snapshot();
    const snapshot: Snapshot = { index, term, config: core.voters.at(index), data };
    core.tasks.start(() => core.exclusively(() => this.store(snapshot)));
  }

  /** Keeps as much of the log as is cheaper to send than the snapshot. */
  private async store(snapshot: Snapshot): Promise<void> {
    const { store } = this.core;
    if (this.core.failed || snapshot.index <= (store.snapshot?.index ?? 0)) return;
    let keepFrom = snapshot.index + 1;
    let kept = 0;
    while (keepFrom > store.firstIndex) {
      kept += entryBytes(store.slice(keepFrom - 1, 1, 0)[0]!);
      if (kept > snapshot.data.length) break;
      keepFrom -= 1;
    }
    this.core.saved(await store.saveSnapshot(snapshot, keepFrom));
    this.core.o.logger.info('Took a snapshot.', { index: snapshot.index, keepFrom });
  }
}

/** Group commit on the leader: proposals that arrive during a sync share the next one. */

import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { LogEntry, LogPayload } from '@tanagercart/protocol';
import type { AppliedProposal, Applier, ProposeError, Settle } from './applier.js';
import type { RaftState } from './raftstate.js';
import type { Replication } from './replication.js';

interface Proposal {
  readonly payload: LogPayload;
  readonly bytes: number;
  readonly settle: Settle;
}

/** Queue of proposals that wait to be written to the log. */
export class Proposals {
  private queue: Proposal[] = [];
  private queuedBytes = 0;
  /** Whether a flush is scheduled. */
  private scheduled = false;

  private constructor(
    private readonly state: RaftState,
    private readonly applier: Applier,
    private readonly replication: Replication,
  ) {}

  static create(state: RaftState, applier: Applier, replication: Replication): Proposals {
    return new Proposals(state, applier, replication);
  }

  /** Appends an entry to the log and resolves once it is committed and applied on this node. */
  propose(payload: LogPayload): Promise<Result<AppliedProposal, ProposeError>> {
    const { state } = this;
    if (!this.isAccepting) return Promise.resolve(err(this.notLeader()));
    const bytes = payload.kind === 'command' ? payload.bytes.length : 0;
    if (this.queuedBytes + bytes > state.o.limits.queueBytes) {
      return Promise.resolve(err({ kind: 'overloaded' }));
    }
    return new Promise((settle) => {
      this.queue.push({ payload, bytes, settle });
      this.queuedBytes += bytes;
      this.scheduleFlush();
    });
  }

  private get isAccepting(): boolean {
    return this.state.role === 'leader' && !this.state.transferring && !this.state.stopped;
  }

  private notLeader(): ProposeError {
    const { leader, o } = this.state;
    return { kind: 'not-leader', leader: leader === o.self ? undefined : leader };
  }

  private scheduleFlush(): void {
    if (this.scheduled) return;
    this.scheduled = true;
    this.state.tasks.start(() => this.state.exclusive(() => this.flush()));
  }

  private async flush(): Promise<void> {
    this.scheduled = false;
    const batch = this.dequeueBatch();
    if (this.queue.length > 0) this.scheduleFlush();
    if (!this.isAccepting) {
      for (const { settle } of batch) settle(err(this.notLeader()));
      return;
    }
    await this.writeBatch(batch);
  }

  /** Removes the next batch from the queue: within the limits, but at least one proposal. */
  private dequeueBatch(): readonly Proposal[] {
    const { batchEntries, batchBytes } = this.state.o.limits;
    let bytes = 0;
    let count = 0;
    for (const proposal of this.queue.slice(0, batchEntries)) {
      if (count > 0 && bytes + proposal.bytes > batchBytes) break;
      bytes += proposal.bytes;
      count += 1;
    }
    this.queuedBytes -= bytes;
    return this.queue.splice(0, count);
  }

  private async writeBatch(batch: readonly Proposal[]): Promise<void> {
    const { state, applier, replication } = this;
    const { term } = state;
    const first = state.store.lastIndex + 1;
    const entries = batch.map(({ payload }, i): LogEntry => ({ index: first + i, term, payload }));
    const saved = state.noteWrite(await state.store.append(entries));
    if (saved) state.voters.append(entries);
    if (!saved || !state.leads(term)) {
      for (const { settle } of batch) settle(err({ kind: 'unknown' }));
      return;
    }
    batch.forEach(({ settle }, i) => applier.addPending(first + i, term, settle));
    replication.reconcilePeers();
    replication.advanceCommit();
    state.sendDue.ring();
  }
}

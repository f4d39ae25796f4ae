/** Proposals at the leader: those that wait while the disk syncs are written together. */

import { err } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { LogEntry, LogPayload } from '@tanagercart/protocol';
import type { AppliedProposal, Applier, ProposeError, Settle } from './applier.js';
import type { Core } from './core.js';
import type { Replication } from './replication.js';

interface Proposal {
  readonly payload: LogPayload;
  readonly bytes: number;
  readonly settle: Settle;
}

/** The queue of proposals before the disk. */
export class Proposals {
  private queue: Proposal[] = [];
  private queuedBytes = 0;
  private flushing = false;

  private constructor(
    private readonly core: Core,
    private readonly applier: Applier,
    private readonly replication: Replication,
  ) {}

  static create(core: Core, applier: Applier, replication: Replication): Proposals {
    return new Proposals(core, applier, replication);
  }

  /** Puts an entry into the log; resolves once it is applied here. */
  propose(payload: LogPayload): Promise<Result<AppliedProposal, ProposeError>> {
    const { core } = this;
    if (!this.accepting) return Promise.resolve(err(this.notLeader()));
    const bytes = payload.kind === 'command' ? payload.bytes.length : 0;
    if (this.queuedBytes + bytes > core.o.limits.queueBytes) {
      return Promise.resolve(err({ kind: 'overloaded' }));
    }
    return new Promise((settle) => {
      this.queue.push({ payload, bytes, settle });
      this.queuedBytes += bytes;
      this.flushSoon();
    });
  }

  private get accepting(): boolean {
    return this.core.role === 'leader' && !this.core.handingOver && !this.core.stopped;
  }

  private notLeader(): ProposeError {
    const { leader, o } = this.core;
    return { kind: 'not-leader', leader: leader === o.self ? undefined : leader };
  }

  private flushSoon(): void {
    if (this.flushing) return;
    this.flushing = true;
    this.core.tasks.start(() => this.core.exclusively(() => this.flush()));
  }

  private async flush(): Promise<void> {
    this.flushing = false;
    const batch = this.takeBatch();
    if (this.queue.length > 0) this.flushSoon();
    if (!this.accepting) {
      for (const { settle } of batch) settle(err(this.notLeader()));
      return;
    }
    await this.write(batch);
  }

  private takeBatch(): readonly Proposal[] {
    const { batchEntries, batchBytes } = this.core.o.limits;
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

  private async write(batch: readonly Proposal[]): Promise<void> {
    const { core, applier, replication } = this;
    const { term } = core;
    const first = core.store.lastIndex + 1;
    const entries = batch.map(({ payload }, i): LogEntry => ({ index: first + i, term, payload }));
    const saved = core.saved(await core.store.append(entries));
    if (saved) core.voters.append(entries);
    if (!saved || !core.leads(term)) {
      for (const { settle } of batch) settle(err({ kind: 'unknown' }));
      return;
    }
    batch.forEach(({ settle }, i) => applier.expect(first + i, term, settle));
    replication.startPeers();
    replication.advanceCommit();
    core.wake.ring();
  }
}

/** The follower's side of replication: receives entries and snapshots from the leader. */

import { invariant } from '@tanagercart/base';
import type { AppendCall, AppendReply, SnapshotCall, SnapshotReply } from '@tanagercart/protocol';
import type { Applier } from './applier.js';
import type { RaftState } from './raftstate.js';

/** The chunks of a snapshot that have been received so far. */
interface PartialSnapshot {
  readonly term: number;
  readonly index: number;
  readonly chunks: Uint8Array[];
  received: number;
}

/** Handles the leader's `append` and `snapshot` calls. */
export class Receiver {
  private partial: PartialSnapshot | undefined;

  private constructor(
    private readonly state: RaftState,
    private readonly applier: Applier,
  ) {}

  /** Registers the handlers of `append` and `snapshot`. */
  static create(state: RaftState, applier: Applier): Receiver {
    const receiver = new Receiver(state, applier);
    const { transport } = state.o;
    transport.serve('append', (_, call) => state.exclusive(() => receiver.handleAppend(call)));
    transport.serve('snapshot', (_, call) => state.exclusive(() => receiver.handleSnapshot(call)));
    return receiver;
  }

  private async handleAppend(call: AppendCall): Promise<AppendReply> {
    if (!(await this.acceptCall(call))) return this.appendReply(false, this.state.store.lastIndex);
    const { store } = this.state;
    if (!this.hasPrevious(call)) {
      const hint = Math.max(
        this.applier.commitIndex,
        Math.min(store.lastIndex, call.prevIndex - 1),
      );
      return this.appendReply(false, hint);
    }
    if (!(await this.storeEntries(call))) return this.appendReply(false, store.lastIndex);
    this.applier.commitTo(Math.min(call.commit, call.prevIndex + call.entries.length));
    return this.appendReply(true, store.lastIndex);
  }

  /**
   * Becomes a follower of the caller. Returns false for an earlier term or another disk, while this
   * node is stopping, and after a failed write.
   */
  private async acceptCall(call: AppendCall | SnapshotCall): Promise<boolean> {
    const { state } = this;
    if (state.failed || state.stopped || call.disk !== state.store.diskId) return false;
    if (call.term < state.term || !(await state.raiseTerm(call.term))) return false;
    invariant(state.role !== 'leader', 'a leader is the only one of its term');
    invariant(
      state.leader === undefined || state.leader === call.leader,
      'followers of a term have one leader',
    );
    state.follow(call.leader);
    return true;
  }

  /**
   * Whether the log contains the entry before the sent ones. It always contains a committed one,
   * which is equal on all nodes; its term may no longer be known, as a snapshot has replaced it.
   */
  private hasPrevious(call: AppendCall): boolean {
    const storedTerm = this.state.store.termAt(call.prevIndex);
    if (call.prevIndex > this.applier.commitIndex) return storedTerm === call.prevTerm;
    invariant(
      storedTerm === undefined || storedTerm === call.prevTerm,
      'committed entries are equal everywhere',
    );
    return true;
  }

  /** Appends the sent entries that the log does not contain; returns false if the write failed. */
  private async storeEntries(call: AppendCall): Promise<boolean> {
    const { store, voters } = this.state;
    const uncommitted = call.entries.filter((e) => e.index > this.applier.commitIndex);
    const firstNew = uncommitted.findIndex((e) => store.termAt(e.index) !== e.term);
    if (firstNew < 0) return true;
    const added = uncommitted.slice(firstNew);
    invariant(added[0]!.index > this.applier.commitIndex, 'a committed entry is never overwritten');
    if (!this.state.noteWrite(await store.append(added))) return false;
    voters.append(added);
    return true;
  }

  private async handleSnapshot(call: SnapshotCall): Promise<SnapshotReply> {
    if (!(await this.acceptCall(call))) return this.snapshotReply(0);
    const partial = this.partialFor(call);
    if (call.offset === partial.received) {
      partial.chunks.push(call.data);
      partial.received += call.data.length;
      if (call.done && !(await this.installSnapshot(call, Buffer.concat(partial.chunks)))) {
        return this.snapshotReply(0);
      }
    }
    return this.snapshotReply(partial.received);
  }

  /** The snapshot to which the chunk belongs; the first chunk of a snapshot starts a new one. */
  private partialFor(call: SnapshotCall): PartialSnapshot {
    const { partial } = this;
    const isSameSnapshot = partial?.term === call.term && partial.index === call.index;
    if (isSameSnapshot && call.offset > 0) return partial;
    this.partial = { term: call.term, index: call.index, chunks: [], received: 0 };
    return this.partial;
  }

  private async installSnapshot(call: SnapshotCall, data: Uint8Array): Promise<boolean> {
    const { state, applier } = this;
    const { index, indexTerm: term, config } = call;
    if (index <= applier.commitIndex) return true;
    const snapshot = { index, term, config, data };
    if (!state.noteWrite(await state.store.saveSnapshot(snapshot, index + 1))) return false;
    state.voters.reload(state.store);
    applier.restoreSnapshot(snapshot);
    state.o.logger.info('Installed a snapshot from the leader.', { index });
    return true;
  }

  private appendReply(ok: boolean, lastIndex: number): AppendReply {
    return { term: this.state.term, disk: this.replyDiskId(), ok, lastIndex };
  }

  private snapshotReply(receivedBytes: number): SnapshotReply {
    return { term: this.state.term, disk: this.replyDiskId(), held: receivedBytes };
  }

  /**
   * The disk in a reply: empty while stopping or after a failed write, so that the leader ignores
   * the reply.
   */
  private replyDiskId(): string {
    const { failed, stopped, store } = this.state;
    return failed || stopped ? '' : store.diskId;
  }
}

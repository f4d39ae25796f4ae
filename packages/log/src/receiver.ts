/** The follower's side of the log: takes entries and snapshots from the leader. */

import { invariant } from '@tanagercart/base';
import type { AppendCall, AppendReply, SnapshotCall, SnapshotReply } from '@tanagercart/protocol';
import type { Applier } from './applier.js';
import type { Core } from './core.js';

/** The parts of a snapshot received so far. */
interface Incoming {
  readonly term: number;
  readonly index: number;
  readonly parts: Uint8Array[];
  held: number;
}

/** Takes what the leader sends. */
export class Receiver {
  private incoming: Incoming | undefined;

  private constructor(
    private readonly core: Core,
    private readonly applier: Applier,
  ) {}

  /** Serves the calls of a leader. */
  static create(core: Core, applier: Applier): Receiver {
    const receiver = new Receiver(core, applier);
    const { transport } = core.o;
    transport.serve('append', (_, call) => core.exclusively(() => receiver.onAppend(call)));
    transport.serve('snapshot', (_, call) => core.exclusively(() => receiver.onSnapshot(call)));
    return receiver;
  }

  private async onAppend(call: AppendCall): Promise<AppendReply> {
    if (!(await this.admits(call))) return this.appendReply(false, this.core.store.lastIndex);
    const { store } = this.core;
    if (!this.matches(call)) {
      const hint = Math.max(this.applier.commit, Math.min(store.lastIndex, call.prevIndex - 1));
      return this.appendReply(false, hint);
    }
    if (!(await this.takeEntries(call))) return this.appendReply(false, store.lastIndex);
    this.applier.commitTo(Math.min(call.commit, call.prevIndex + call.entries.length));
    return this.appendReply(true, store.lastIndex);
  }

  /** Whether a call is of the present leader and meant for this disk; then follows that leader. */
  private async admits(call: AppendCall | SnapshotCall): Promise<boolean> {
    const { core } = this;
    if (core.failed || core.stopped || call.disk !== core.store.diskId) return false;
    if (call.term < core.term || !(await core.adoptTerm(call.term))) return false;
    invariant(core.role !== 'leader', 'a term has one leader');
    invariant(core.leader === undefined || core.leader === call.leader, 'a term has one leader');
    core.follow(call.leader);
    return true;
  }

  /** Whether the log holds the entry that comes before the sent ones; committed ones are equal. */
  private matches(call: AppendCall): boolean {
    const held = this.core.store.termAt(call.prevIndex);
    if (call.prevIndex > this.applier.commit) return held === call.prevTerm;
    invariant(
      held === undefined || held === call.prevTerm,
      'committed entries are equal everywhere',
    );
    return true;
  }

  private async takeEntries(call: AppendCall): Promise<boolean> {
    const { store, voters } = this.core;
    const later = call.entries.filter((e) => e.index > this.applier.commit);
    const fresh = later.findIndex((e) => store.termAt(e.index) !== e.term);
    if (fresh < 0) return true;
    const added = later.slice(fresh);
    invariant(added[0]!.index > this.applier.commit, 'a committed entry is never replaced');
    if (!this.core.saved(await store.append(added))) return false;
    voters.append(added);
    return true;
  }

  private async onSnapshot(call: SnapshotCall): Promise<SnapshotReply> {
    if (!(await this.admits(call))) return this.snapshotReply(0);
    const incoming = this.incomingFor(call);
    if (call.offset === incoming.held) {
      incoming.parts.push(call.data);
      incoming.held += call.data.length;
      if (call.done && !(await this.install(call, Buffer.concat(incoming.parts)))) {
        return this.snapshotReply(0);
      }
    }
    return this.snapshotReply(incoming.held);
  }

  private incomingFor(call: SnapshotCall): Incoming {
    const { incoming } = this;
    const same = incoming?.term === call.term && incoming.index === call.index;
    if (same && call.offset > 0) return incoming;
    this.incoming = { term: call.term, index: call.index, parts: [], held: 0 };
    return this.incoming;
  }

  private async install(call: SnapshotCall, data: Uint8Array): Promise<boolean> {
    const { core, applier } = this;
    const { index, indexTerm: term, config } = call;
    if (index <= applier.commit) return true;
    const snapshot = { index, term, config, data };
    if (!core.saved(await core.store.saveSnapshot(snapshot, index + 1))) return false;
    core.voters.reload(core.store);
    applier.restored(snapshot);
    core.o.logger.info('Took over a snapshot.', { index });
    return true;
  }

  private appendReply(ok: boolean, lastIndex: number): AppendReply {
    return { term: this.core.term, disk: this.disk(), ok, lastIndex };
  }

  private snapshotReply(held: number): SnapshotReply {
    return { term: this.core.term, disk: this.disk(), held };
  }

  /** A voter that is ending, or whose disk has failed, answers for no disk: its replies do not count. */
  private disk(): string {
    const { failed, stopped, store } = this.core;
    return failed || stopped ? '' : store.diskId;
  }
}

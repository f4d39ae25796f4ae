/**
 * Tracks at the leader which entries have the newest document. The acknowledgement of a document
 * promises that it is in force everywhere within a bound, so it waits until every entry that may
 * answer requests has the document, or until those that lack it cannot answer beyond that bound.
 */

import { Bell } from '@tanagercart/base';
import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { WatchCall } from '@tanagercart/protocol';

/** Longest time from the commit of a document for which its acknowledgement waits for entries. */
export const adoptionWaitMs: Millis = 700;

/** Allowance for the clocks of leader and entries, which may run at different rates. */
const clockDriftMs: Millis = 50;

/** Share of the time within which a revoked key stops working that a lease may last. */
const revocationShare = 0.8;

/** The times within which what operators change is in force everywhere. */
export interface ChangeBounds {
  /** For a document, from its acknowledgement. */
  readonly configApplyMs: Millis;
  /** For a key that is taken away, whether or not the entry is in touch with the voters. */
  readonly revokeMs: Millis;
}

/**
 * Time for which a confirmation by the leader lets an entry answer requests. An entry that has not
 * heard of a document was last confirmed before its commit, so it stops answering within
 * `configApplyMs` of an acknowledgement that comes `adoptionWaitMs` after the commit.
 */
export function entryLeaseMs({ configApplyMs, revokeMs }: ChangeBounds): Millis {
  const leaseMs = configApplyMs + adoptionWaitMs - clockDriftMs;
  return Math.min(leaseMs, revokeMs * revocationShare);
}

/** What is known of an entry. */
interface EntryState {
  /** The version of its document, as of its last call. */
  readonly version: number;
  /** Time of the latest call or reply that may have renewed its lease. */
  readonly at: Millis;
}

export interface RolloutOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Lease of the entries. */
  readonly leaseMs: Millis;
}

/** Tracks which entries have the newest document, during one term of the leader. */
export class Rollout {
  private readonly startedAt: Millis;
  private readonly entries = new Map<NodeId, EntryState>();
  /** Signals that an entry has received a document. */
  private readonly adopted = Bell.create();

  private constructor(private readonly o: RolloutOptions) {
    this.startedAt = o.clock.now();
  }

  static create(options: RolloutOptions): Rollout {
    return new Rollout(options);
  }

  /** Records the call of a node; only entries answer requests. */
  recordCall(from: NodeId, { entry, documentVersion: version }: WatchCall): void {
    if (!entry) return;
    const known = this.entries.get(from);
    this.entries.set(from, { version, at: this.o.clock.now() });
    if (known?.version !== version) this.adopted.ring();
  }

  /**
   * Records a reply to a node. It renews the lease of an entry, whose document is known to be newer
   * only once the entry calls again.
   */
  recordReply(to: NodeId): void {
    const known = this.entries.get(to);
    if (known) this.entries.set(to, { ...known, at: this.o.clock.now() });
  }

  /** Waits until the entries have `version`, which is committed; for `adoptionWaitMs` at most. */
  async wait(version: number): Promise<void> {
    const { clock, logger } = this.o;
    const since = clock.now();
    const until = since + adoptionWaitMs;
    while (!this.isAdopted(version) && clock.now() < until) {
      await this.adopted.waitUpTo(until - clock.now(), clock);
    }
    logger.info('Waited for entries to have a document.', {
      version,
      waitedMs: Math.round(clock.now() - since),
      entries: this.entries.size,
      lacking: this.lacking(version).length,
      silent: this.entries.size - this.leased.length,
      isNewLeader: this.isNewLeader,
    });
  }

  /**
   * Whether every entry whose lease may not have run out has `version`. At the start of a term,
   * there may be entries that only the leader before has confirmed.
   */
  private isAdopted(version: number): boolean {
    return !this.isNewLeader && this.lacking(version).length === 0;
  }

  private get isNewLeader(): boolean {
    return this.startedAt > this.leasedSince;
  }

  /** Entries whose lease may not have run out, and which are not known to have `version`. */
  private lacking(version: number): readonly EntryState[] {
    return this.leased.filter((e) => e.version < version);
  }

  private get leased(): readonly EntryState[] {
    const { leasedSince } = this;
    return [...this.entries.values()].filter((e) => e.at > leasedSince);
  }

  /** A lease that was renewed at this time runs out now. */
  private get leasedSince(): Millis {
    return this.o.clock.now() - this.o.leaseMs;
  }
}

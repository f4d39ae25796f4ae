/**
 * Removes the records of upstreams that are gone, at the leader. Used when releases replace many
 * upstreams over a long time: without it, the state and the copy of it that each entry holds grow
 * with every replacement.
 */

import type { Clock, Logger, Millis, UpstreamId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';

/** A record is kept this long, since late announcements of the upstream may still arrive. */
const retentionMs: Millis = 60_000;

/** Smallest number of records to remove at once, as each removal sends entries the whole state. */
const minBatch = 20;

export interface TombstoneCollectorOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Commits the removal of the records; returns false if that failed. */
  readonly forget: (upstreams: readonly UpstreamId[]) => Promise<boolean>;
}

/** Removes records some time after their upstreams are gone. */
export class TombstoneCollector {
  private readonly goneSince = new Map<UpstreamId, Millis>();
  private isCollecting = false;

  private constructor(private readonly o: TombstoneCollectorOptions) {}

  static create(options: TombstoneCollectorOptions): TombstoneCollector {
    return new TombstoneCollector(options);
  }

  /** Removes the records that have been kept long enough, once there are enough of them. */
  collect(records: ReadonlyMap<UpstreamId, UpstreamRecord>): void {
    const now = this.o.clock.now();
    for (const { id, phase } of records.values()) {
      if (phase !== 'gone') this.goneSince.delete(id);
      else if (!this.goneSince.has(id)) this.goneSince.set(id, now);
    }
    const due = [...this.goneSince].filter(([, since]) => now - since >= retentionMs);
    if (this.isCollecting || due.length < minBatch) return;
    this.isCollecting = true;
    void this.forget(due.map(([id]) => id));
  }

  private async forget(ids: readonly UpstreamId[]): Promise<void> {
    const done = await this.o.forget(ids);
    this.o.logger.info('Removed records of upstreams that are gone.', { count: ids.length, done });
    if (done) for (const id of ids) this.goneSince.delete(id);
    this.isCollecting = false;
  }
}

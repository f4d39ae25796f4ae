/**
 * Forgets upstreams that are gone, at the leader. Answers long days with many releases: without it
 * the state, and what each entry keeps of it, grows with every replacement.
 */

import type { Clock, Logger, Millis, UpstreamId } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';

/** A record is kept this long, as late announcements of an upstream that is gone still come. */
const keptMs: Millis = 60_000;

/** Records are forgotten together: every entry then learns the whole state anew. */
const leastForgotten = 20;

export interface SweeperOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Commits that the records are forgotten; false where it failed. */
  readonly forget: (upstreams: readonly UpstreamId[]) => Promise<boolean>;
}

/** Knows since when upstreams are gone. */
export class Sweeper {
  private readonly goneSince = new Map<UpstreamId, Millis>();
  private forgetting = false;

  private constructor(private readonly o: SweeperOptions) {}

  static create(options: SweeperOptions): Sweeper {
    return new Sweeper(options);
  }

  /** Forgets those that have been gone for long, once there are enough of them. */
  step(records: ReadonlyMap<UpstreamId, UpstreamRecord>): void {
    const now = this.o.clock.now();
    for (const { id, phase } of records.values()) {
      if (phase !== 'gone') this.goneSince.delete(id);
      else if (!this.goneSince.has(id)) this.goneSince.set(id, now);
    }
    const due = [...this.goneSince].filter(([, since]) => now - since >= keptMs);
    if (this.forgetting || due.length < leastForgotten) return;
    this.forgetting = true;
    void this.forget(due.map(([id]) => id));
  }

  private async forget(ids: readonly UpstreamId[]): Promise<void> {
    const done = await this.o.forget(ids);
    this.o.logger.info('Forgot upstreams that are gone.', { count: ids.length, done });
    if (done) for (const id of ids) this.goneSince.delete(id);
    this.forgetting = false;
  }
}

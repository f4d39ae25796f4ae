/** Follows the leader on behalf of an entry: one call after the other, each held until something changed. */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type { EntryRecord, Suspicion, Transport, UpstreamLoad } from '@tanagercart/protocol';
import { LeaderLink } from './leader.js';
import type { FleetView } from './view.js';

/** How long the leader may hold a call back for a fleet of up to `heldEntries` entries. */
const holdMs: Millis = 250;
const heldEntries = 32;

/** Longest time that the leader holds a call back. */
const mostHoldMs: Millis = 1000;

/** How long one search for the leader may take. */
const searchMs: Millis = 1500;

/** Pause after a search without success. */
const pauseMs: Millis = 100;

export interface WatcherOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly view: FleetView;
  readonly seeds: () => readonly NodeId[];
  /** How this entry is to be known to callers. */
  readonly entry: () => EntryRecord;
  readonly loads: () => readonly UpstreamLoad[];
  readonly suspicions: () => readonly Suspicion[];
}

/** Keeps a view up to date. */
export class Watcher {
  private readonly link: LeaderLink;
  private reached = false;

  private constructor(private readonly o: WatcherOptions) {
    const { transport, clock, view, seeds } = o;
    const candidates = () => [...new Set([...view.voters, ...seeds()])];
    this.link = LeaderLink.create({ transport, clock, candidates });
  }

  static create(options: WatcherOptions): Watcher {
    return new Watcher(options);
  }

  /** Tells the leader that a request crashed upstreams. */
  async strike(fingerprint: string): Promise<boolean> {
    return (await this.link.call('strike', { fingerprint }, searchMs)).isOk();
  }

  /** Tells the leader at once what this entry is now. */
  async report(): Promise<void> {
    await this.ask(0);
  }

  /** Task: asks the leader for changes, again and again. */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, view } = this.o;
    while (!stop.aborted) {
      const share = Math.max(1, view.entries.length / heldEntries);
      // Whoever does not know the leader has to find it first: nobody holds such a call back.
      const isKnown = view.index > 0 && this.link.leader !== undefined;
      const answered = await this.ask(isKnown ? Math.min(mostHoldMs, holdMs * share) : 0);
      if (!answered) await clock.sleep(pauseMs, stop);
    }
  }

  private async ask(waitMs: Millis): Promise<boolean> {
    const { clock, view, entry, loads, suspicions } = this.o;
    const sentAt = clock.now();
    const call = {
      entry: entry(),
      loads: loads(),
      suspicions: suspicions(),
      since: view.index,
      documentVersion: view.document.version,
      waitMs,
    };
    const reply = await this.link.call('watch', call, searchMs, waitMs);
    this.tellReached(reply.isOk());
    return reply.isOk() && view.apply(reply.value, sentAt, call.loads);
  }

  private tellReached(reached: boolean): void {
    if (reached === this.reached) return;
    this.reached = reached;
    const { logger, view } = this.o;
    const fields = { leader: this.link.leader, index: view.index, ageMs: Math.round(view.ageMs) };
    if (reached) logger.info('Reached the leader.', fields);
    else logger.warn('Lost the leader.', fields);
  }
}

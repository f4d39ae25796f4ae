/**
 * Follows the leader on behalf of an entry. It sends one watch call after the other, and the leader
 * holds each of them until something has changed.
 */

import type { Clock, Logger, Millis, NodeId } from '@tanagercart/base';
import type {
  CrashCall,
  EntryRecord,
  LimitNotice,
  ServiceDemand,
  PaceReport,
  Slowness,
  Suspicion,
  TransferLoad,
  Transport,
  UpstreamIncarnation,
  UpstreamLoad,
} from '@tanagercart/protocol';
import { LeaderClient, formatAttempts } from './leaderclient.js';
import type { FailedAttempt } from './leaderclient.js';
import type { FleetView } from './view.js';

/** How long the leader may hold a call in a fleet of up to `baseHoldEntries` entries. */
const baseHoldMs: Millis = 250;
const baseHoldEntries = 32;

/**
 * Upper bound of the time for which the leader may hold a call in a larger fleet. The lease of an
 * entry has to outlast the hold and a late reply.
 */
const maxHoldMs: Millis = 1500;

/** Time for one search for the leader. */
const searchTimeoutMs: Millis = 1500;

/**
 * Time for which a late reply is waited for in addition, while voters follow the leader. A leader
 * that is behind answers in the order of arrival: to call it again would put this entry last, and
 * let the leader work on a reply that nobody reads.
 */
const patienceMs: Millis = 4000;

/** Pause after a call that failed. */
const retryPauseMs: Millis = 100;

export interface WatcherOptions {
  readonly transport: Transport;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly view: FleetView;
  /** Nodes that may know the leader, beside the voters of the view. */
  readonly seeds: () => readonly NodeId[];
  /** The record of this entry, as it is listed for callers. */
  readonly entry: () => EntryRecord;
  /** Load that this entry causes at upstreams. */
  readonly loads: () => readonly UpstreamLoad[];
  /** Transfers between data centres of this entry's requests. */
  readonly transfers: () => readonly TransferLoad[];
  /** Upstreams that failed requests of this entry. */
  readonly suspicions: () => readonly Suspicion[];
  /** Slow upstreams among those that this entry polls. */
  readonly slow: () => readonly Slowness[];
  /** Upstreams that told this entry that they leave. */
  readonly leaving: () => readonly UpstreamIncarnation[];
  /** What responses told this entry of the limits of upstreams lately. */
  readonly limits: () => readonly LimitNotice[];
  /** Demand for services with an engine; undefined if this entry does not measure it. */
  readonly demand?: () => readonly ServiceDemand[];
  /** What this entry observed of paced upstreams. */
  readonly paces?: () => readonly PaceReport[];
}

/** Keeps the view of an entry up to date. */
export class Watcher {
  private readonly client: LeaderClient;
  /** Whether the last call was answered. */
  private isConnected = false;

  private constructor(private readonly o: WatcherOptions) {
    const { transport, clock, view, seeds } = o;
    const candidates = () => [...new Set([...view.voters, ...seeds()])];
    this.client = LeaderClient.create({ transport, clock, candidates });
  }

  static create(options: WatcherOptions): Watcher {
    return new Watcher(options);
  }

  /** Reports a crash, or answers to what is suspected; returns whether it is recorded. */
  async reportCrash(call: CrashCall): Promise<boolean> {
    const reply = await this.client.call('parts', call, searchTimeoutMs);
    return reply.isOk() && reply.value.kind === 'recorded';
  }

  /** Sends the present state of this entry to the leader without delay. */
  async report(): Promise<void> {
    await this.poll(0);
  }

  /** Asks the leader for changes until `stop` is aborted. */
  async run(stop: AbortSignal): Promise<void> {
    const { clock, view } = this.o;
    while (!stop.aborted) {
      const scale = Math.max(1, view.entries.length / baseHoldEntries);
      // The leader does not hold the call if it has to be found first, so that the search is short,
      // nor the first one after a failure, as the lease may have almost run out by then.
      const isLeaderKnown = view.index > 0 && this.client.leader !== undefined;
      const mayHold = isLeaderKnown && this.isConnected;
      const answered = await this.poll(mayHold ? Math.min(maxHoldMs, baseHoldMs * scale) : 0);
      if (!answered) await clock.sleep(retryPauseMs, stop);
    }
  }

  private async poll(waitMs: Millis): Promise<boolean> {
    const { clock, view, entry, loads, suspicions, limits, leaving, slow, paces } = this.o;
    const sentAt = clock.latest();
    const call = {
      entry: entry(),
      loads: loads(),
      transfers: this.o.transfers(),
      suspicions: suspicions(),
      limits: limits(),
      slow: slow(),
      ...(paces ? { paces: paces() } : {}),
      leaving: leaving().filter((u) => isReadyIn(view, u)),
      ...(this.o.demand ? { demand: this.o.demand() } : {}),
      since: view.index,
      documentVersion: view.document.version,
      entriesRevision: view.entriesRevision,
      waitMs,
      readsPackedState: true,
    };
    const options = { holdMs: waitMs, patienceMs };
    const reply = await this.client.call('watch', call, searchTimeoutMs, options);
    this.logConnection(reply.isOk());
    if (reply.isErr()) this.logSearch(reply.error.attempts, clock.latest() - sentAt);
    return reply.isOk() && view.apply(reply.value, sentAt, call);
  }

  private logSearch(attempts: readonly FailedAttempt[], searchedMs: Millis): void {
    this.o.logger.info('No leader answered.', {
      searchedMs: Math.round(searchedMs),
      attempts: formatAttempts(attempts),
      ageMs: Math.round(this.o.view.ageMs),
    });
  }

  private logConnection(connected: boolean): void {
    if (connected === this.isConnected) return;
    this.isConnected = connected;
    const { logger, view } = this.o;
    const fields = {
      leader: this.client.leader,
      index: view.index,
      ageMs: Math.round(view.ageMs),
    };
    if (connected) logger.info('Reached the leader.', fields);
    else logger.warn('Lost the leader.', fields);
  }
}

/** Whether the view still takes an incarnation of an upstream for ready. */
function isReadyIn({ upstreams }: FleetView, { id, born }: UpstreamIncarnation): boolean {
  const record = upstreams.get(id);
  return record?.born === born && record.phase === 'ready';
}

/** An entry's copy of the state of the fleet, and how old the leader's word on it is. */

import { Bell } from '@tanagercart/base';
import type { Clock, Logger, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import { RoutingTable, applyDelta } from '@tanagercart/config';
import type { Configuration, Delta } from '@tanagercart/config';
import { decode, unpackDocument } from '@tanagercart/protocol';
import type {
  Bulletin,
  DocumentUpdate,
  EntryRecord,
  Suspicion,
  UpstreamLoad,
  UpstreamRecord,
  WatchReply,
} from '@tanagercart/protocol';
import { addLoad, clampLoad } from './load.js';
import type { Document } from './state.js';

type Update = Extract<WatchReply, { kind: 'update' }>;

export interface ViewOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Reads a document that was accepted. */
  readonly parse: (text: string) => Configuration | undefined;
}

/** What an entry knows; follows the updates of the leader. */
export class FleetView {
  /** Index of the log up to which the state is known. */
  index = 0;
  entries: readonly EntryRecord[] = [];
  voters: readonly NodeId[] = [];
  private held: Document = { version: 0, text: '' };
  private routing: RoutingTable | undefined;
  private records = new Map<UpstreamId, UpstreamRecord>();
  private loadOf = new Map<UpstreamId, UpstreamLoad>();
  private toldOf = new Map<UpstreamId, UpstreamLoad>();
  private suspected: readonly (Suspicion & { readonly at: Millis })[] = [];
  private slow = new Map<UpstreamId, number>();
  private quarantine = new Set<string>();
  private confirmed: Millis = -Infinity;
  /** Rings after each update. */
  readonly changed = Bell.create();
  /** Counts changes of the upstreams, for whoever keeps something derived from them. */
  revision = 0;

  private constructor(private readonly o: ViewOptions) {}

  static create(options: ViewOptions): FleetView {
    return new FleetView(options);
  }

  get document(): Document {
    return this.held;
  }

  /** The configuration in force; undefined while none is known. */
  get table(): RoutingTable | undefined {
    return this.routing;
  }

  get upstreams(): ReadonlyMap<UpstreamId, UpstreamRecord> {
    return this.records;
  }

  /** Time since the leader confirmed what is known here. */
  get ageMs(): Millis {
    return this.o.clock.now() - this.confirmed;
  }

  /** Load that other entries cause at an upstream, as told last. */
  peerLoadAt(id: UpstreamId): UpstreamLoad | undefined {
    return this.loadOf.get(id);
  }

  /** Load that this entry told of itself when it asked for what it knows. */
  reportedLoadAt(id: UpstreamId): UpstreamLoad | undefined {
    return this.toldOf.get(id);
  }

  /** How many times slower than its kind an upstream is; 1 where nothing is known. */
  slownessOf(id: UpstreamId): number {
    return this.slow.get(id) ?? 1;
  }

  /** When any entry last told that this incarnation failed, and nothing was heard of it since. */
  suspectedAt(record: UpstreamRecord): Millis | undefined {
    return this.suspected.find((s) => s.id === record.id && s.born === record.born)?.at;
  }

  /** Fingerprints of requests that crash upstreams. */
  get quarantined(): ReadonlySet<string> {
    return this.quarantine;
  }

  /**
   * Takes over an update that was asked for at `sentAt`, when this entry told its loads; false
   * where it does not fit.
   */
  apply(update: Update, sentAt: Millis, told: readonly UpstreamLoad[]): boolean {
    if (update.document && !this.takeDocument(unpackDocument(update.document))) {
      this.held = { version: 0, text: '' };
      return false;
    }
    if (update.whole) this.records = new Map();
    for (const record of update.upstreams) this.takeRecord(record);
    if (update.upstreams.length > 0 || update.whole) this.revision += 1;
    if (update.quarantined) this.quarantine = new Set(update.quarantined);
    this.index = update.index;
    this.takeBulletin(decode<Bulletin>(update.bulletin), told);
    this.confirmed = sentAt;
    this.changed.ring();
    return true;
  }

  private takeBulletin(bulletin: Bulletin, told: readonly UpstreamLoad[]): void {
    this.entries = bulletin.entries;
    this.voters = bulletin.voters;
    this.loadOf = without(bulletin.loads, told);
    this.toldOf = new Map(told.map((l) => [l.id, l]));
    this.slow = new Map(bulletin.slow.map((s) => [s.id, s.factor]));
    const now = this.o.clock.now();
    this.suspected = bulletin.suspicions.map((s) => ({ ...s, at: now - s.ageMs }));
  }

  private takeRecord(record: UpstreamRecord): void {
    const known = this.records.get(record.id);
    if (known?.phase !== record.phase || known.born !== record.born) {
      this.o.logger.info('Upstream changed.', {
        upstream: record.id,
        born: record.born,
        address: record.address,
        phase: record.phase,
      });
    }
    this.records.set(record.id, record);
  }

  private takeDocument(update: DocumentUpdate): boolean {
    const text =
      update.kind === 'whole' ? update.text : applyDelta(this.held.text, update.delta as Delta);
    if (text === undefined) return false;
    const config = this.o.parse(text);
    if (!config || config.version !== update.version) {
      this.o.logger.error('Cannot read the document in force.', { version: update.version });
      return false;
    }
    // A configuration is never taken back, also where the leader's word is older than this node's.
    if (update.version > this.held.version) {
      this.held = { version: update.version, text };
      this.routing = RoutingTable.create(config);
      this.o.logger.info('Configuration in force.', {
        version: update.version,
        routes: config.routes.length,
        kind: update.kind,
      });
    }
    return true;
  }
}

/** The load of all entries without that of one. */
function without(
  all: readonly UpstreamLoad[],
  own: readonly UpstreamLoad[],
): Map<UpstreamId, UpstreamLoad> {
  const others = new Map(all.map((l) => [l.id, l]));
  for (const load of own) {
    const sum = others.get(load.id);
    // The sum may be a little older than what was told.
    if (sum) others.set(load.id, clampLoad(addLoad(sum, load, -1)));
  }
  return others;
}

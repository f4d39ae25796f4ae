/** An entry's copy of the state of the fleet, and how old that copy is. */

import { Bell } from '@tanagercart/base';
import type { Clock, Logger, Millis, NodeId, ServiceId, UpstreamId } from '@tanagercart/base';
import { RoutingTable, applyDelta } from '@tanagercart/config';
import type { Configuration, Delta } from '@tanagercart/config';
import { decompressDocument, decompressState } from '@tanagercart/protocol';
import type {
  DocumentUpdate,
  EntryRecord,
  FleetDemand,
  LimitNotice,
  PaceRow,
  Suspicion,
  TransferLoad,
  UpstreamLoad,
  UpstreamRecord,
  WatchCall,
  WatchReply,
} from '@tanagercart/protocol';
import { decodeBulletin, termOf } from './bulletin.js';
import type { DecodedBulletin } from './bulletin.js';
import { rateOf } from './demand.js';
import { addLoad, clampLoad, sumByService } from './load.js';
import type { Document } from './state.js';

/** A reply to a watch call that carries an update. */
type Update = Extract<WatchReply, { kind: 'update' }>;

/** What a watch call said of the entry that sent it, on which its reply builds. */
type ReportedState = Pick<WatchCall, 'loads' | 'documentVersion' | 'demand' | 'transfers'>;

/**
 * The leader drops reports of entries after this time; an update that is older says nothing of a
 * queue either, which changes within fractions of a second.
 */
const transfersTimeoutMs: Millis = 2000;

/** Transfers of a service between data centres, in bytes, by the last update. */
export interface ReportedTransfers {
  /** Those of this entry, as reported in the call that the update replied to. */
  readonly own: number;
  /** Those of the other entries. */
  readonly others: number;
}

export interface ViewOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /** Time for which a confirmation of the leader lets this entry answer requests. */
  readonly leaseMs: Millis;
  /** Parses an accepted document; returns undefined if it cannot be parsed. */
  readonly parse: (text: string) => Configuration | undefined;
  /** Receives what other entries were told of the limits of upstreams, with each update. */
  readonly onLimits: (notices: readonly LimitNotice[]) => void;
}

/** The state of the fleet as an entry has received it from the leader. */
export class FleetView {
  /** Index of the log up to which the state is known. */
  index = 0;
  /** Entries that have called the leader recently, in any phase. */
  entries: readonly EntryRecord[] = [];
  /** Revision of that list, by the leader that sent it; empty if it named none. */
  entriesRevision = '';
  voters: readonly NodeId[] = [];
  /** The document in force; its version is 0 while none is known. */
  private inForce: Document = { version: 0, text: '' };
  private routing: RoutingTable | undefined;
  private records = new Map<UpstreamId, UpstreamRecord>();
  private peerLoads = new Map<UpstreamId, UpstreamLoad>();
  private reportedLoads = new Map<UpstreamId, UpstreamLoad>();
  private demand: FleetDemand | undefined;
  private reportedDemand: WatchCall['demand'];
  /** Undefined if the leader sent none. */
  private transfers: TransferReport | undefined;
  private suspicions: readonly (Suspicion & { readonly at: Millis })[] = [];
  private slowFactors = new Map<UpstreamId, number>();
  /** Fingerprints of the quarantined requests. */
  private fingerprints = new Set<string>();
  /** Requests and parts of prompts that may crash upstreams, and have not been answered since. */
  suspects: ReadonlySet<string> = new Set();
  /** The paced upstreams, by the last update. */
  paces: readonly PaceRow[] = [];
  /** Time by `Clock.latest` at which the leader last confirmed this state. */
  private confirmedAt: Millis = -Infinity;
  /** Signals each update. */
  readonly changed = Bell.create();
  /** Counts the changes of upstreams, for code that keeps values derived from them. */
  revision = 0;

  private constructor(private readonly o: ViewOptions) {}

  static create(options: ViewOptions): FleetView {
    return new FleetView(options);
  }

  /** The document in force; its version is 0 while none is known. */
  get document(): Document {
    return this.inForce;
  }

  /** The configuration in force; undefined while none is known. */
  get table(): RoutingTable | undefined {
    return this.routing;
  }

  get upstreams(): ReadonlyMap<UpstreamId, UpstreamRecord> {
    return this.records;
  }

  /** The term of the leader that sent the last update; undefined if it named none. */
  get leaderTerm(): string | undefined {
    return termOf(this.entriesRevision);
  }

  /** Time since the leader last confirmed this state. */
  get ageMs(): Millis {
    return this.o.clock.latest() - this.confirmedAt;
  }

  /** Time until the lease of this entry runs out; 0 where it has. */
  get leaseLeftMs(): Millis {
    return Math.max(0, this.o.leaseMs - this.ageMs);
  }

  /** Whether the leader confirmed this state so lately that requests may be answered by it. */
  get isCurrent(): boolean {
    return this.leaseLeftMs > 0;
  }

  /** Load that other entries cause at an upstream, by the last update. */
  peerLoadAt(id: UpstreamId): UpstreamLoad | undefined {
    return this.peerLoads.get(id);
  }

  /** Load of this entry at an upstream, as reported in the call that the last update replied to. */
  reportedLoadAt(id: UpstreamId): UpstreamLoad | undefined {
    return this.reportedLoads.get(id);
  }

  /** Number of entries that report their demand, by the last update. */
  get demandReporters(): number {
    return this.demand?.reporters ?? 0;
  }

  /**
   * Tokens per second that requests at other entries ask for, by priority; undefined if the leader
   * names none.
   */
  peerDemandFor(service: ServiceId): readonly number[] | undefined {
    if (!this.demand) return undefined;
    const own = rateOf(this.reportedDemand ?? [], service);
    const all = rateOf(this.demand.services, service);
    // The sum may be slightly older than the rates to subtract.
    return all.map((rate, priority) => Math.max(0, rate - (own[priority] ?? 0)));
  }

  /** Transfers of a service; undefined if the leader sent none, or not lately. */
  transfersOf(service: ServiceId): ReportedTransfers | undefined {
    if (!this.transfers || this.ageMs > transfersTimeoutMs) return undefined;
    const own = this.transfers.own.get(service)?.bytes ?? 0;
    const all = this.transfers.all.get(service)?.bytes ?? 0;
    // The sum may be slightly older than what is subtracted.
    return { own, others: Math.max(0, all - own) };
  }

  /** How many times slower an upstream is than is usual for its kind; 1 if nothing is known. */
  slownessOf(id: UpstreamId): number {
    return this.slowFactors.get(id) ?? 1;
  }

  /** Time of the latest suspicion of this incarnation; undefined if the leader reports none. */
  suspectedAt(record: UpstreamRecord): Millis | undefined {
    return this.suspicions.find((s) => s.id === record.id && s.born === record.born)?.at;
  }

  /** Fingerprints of requests that crash upstreams. */
  get quarantined(): ReadonlySet<string> {
    return this.fingerprints;
  }

  /**
   * Applies the reply to `call`, which was sent at `sentAt` by `Clock.latest`, unless another reply
   * has overtaken it. Returns false if the document cannot be applied; the next call then asks for
   * all of it.
   */
  apply(update: Update, sentAt: Millis, call: ReportedState): boolean {
    const document = update.document && decompressDocument(update.document);
    // The leader confirmed the state when it replied, which was `heldMs` after it received the call.
    const latest = this.o.clock.latest();
    const repliedAt = Math.min(sentAt + (update.heldMs ?? 0), latest);
    if (this.isOvertaken(update, repliedAt, document, call)) return true;
    if (document && !this.applyDocument(document)) {
      this.inForce = { version: 0, text: '' };
      return false;
    }
    const { upstreams, quarantined } = update.packedState
      ? decompressState(update.packedState)
      : update;
    if (update.whole) this.records = new Map();
    for (const record of upstreams) this.applyRecord(record);
    if (upstreams.length > 0 || update.whole) this.revision += 1;
    if (quarantined) this.fingerprints = new Set(quarantined);
    this.index = update.index;
    this.applyBulletin(decodeBulletin(update.bulletin), call, latest - repliedAt);
    this.confirmedAt = Math.max(repliedAt, this.confirmedAt);
    this.changed.ring();
    return true;
  }

  /** Applies a bulletin that was sent `lateMs` ago at most; the ages in it are as of then. */
  private applyBulletin(
    bulletin: DecodedBulletin,
    { loads: reported, transfers = [], demand }: ReportedState,
    lateMs: Millis,
  ): void {
    if (bulletin.entries) {
      this.entries = bulletin.entries;
      this.entriesRevision = bulletin.entriesRevision ?? '';
    }
    this.voters = bulletin.voters;
    this.peerLoads = subtractLoads(bulletin.loads, reported);
    this.reportedLoads = new Map(reported.map((l) => [l.id, l]));
    this.transfers = bulletin.transfers && {
      own: sumByService(transfers),
      all: sumByService(bulletin.transfers),
    };
    this.slowFactors = new Map(bulletin.slow.map((s) => [s.id, s.factor]));
    this.demand = bulletin.demand;
    this.reportedDemand = demand;
    this.suspects = new Set(bulletin.suspectedParts ?? []);
    this.paces = bulletin.paces ?? [];
    this.o.onLimits((bulletin.limits ?? []).map((n) => ({ ...n, ageMs: n.ageMs + lateMs })));
    const sentAt = this.o.clock.now() - lateMs;
    this.suspicions = bulletin.suspicions.map((s) => ({ ...s, at: sentAt - s.ageMs }));
  }

  private applyRecord(record: UpstreamRecord): void {
    const current = this.records.get(record.id);
    if (current?.phase !== record.phase || current.born !== record.born) {
      this.o.logger.info('Upstream changed.', {
        upstream: record.id,
        born: record.born,
        address: record.address,
        phase: record.phase,
      });
    }
    this.records.set(record.id, record);
  }

  /** Whether another reply, to a call that was sent meanwhile, has replaced what this one changes. */
  private isOvertaken(
    update: Update,
    repliedAt: Millis,
    document: DocumentUpdate | undefined,
    call: ReportedState,
  ): boolean {
    // A log that was formed anew begins at a lower index, and its leader replies with all of it.
    const isAnew = update.whole && repliedAt > this.confirmedAt;
    if (update.index < this.index && !isAnew) return true;
    return document?.kind === 'delta' && call.documentVersion !== this.inForce.version;
  }

  private applyDocument(update: DocumentUpdate): boolean {
    if (update.version <= this.inForce.version) return true;
    const text =
      update.kind === 'whole' ? update.text : applyDelta(this.inForce.text, update.delta as Delta);
    if (text === undefined) return false;
    const config = this.o.parse(text);
    if (!config || config.version !== update.version) {
      this.o.logger.error('Cannot read the document in force.', { version: update.version });
      return false;
    }
    this.inForce = { version: update.version, text };
    this.routing = RoutingTable.create(config);
    this.o.logger.info('Configuration in force.', {
      version: update.version,
      routes: config.routes.length,
      kind: update.kind,
    });
    return true;
  }
}

/** Transfers by service: of this entry when it last reported, and of all as the leader replied. */
interface TransferReport {
  readonly own: ReadonlyMap<ServiceId, TransferLoad>;
  readonly all: ReadonlyMap<ServiceId, TransferLoad>;
}

/** Subtracts the load of one entry from that of all entries. */
function subtractLoads(
  all: readonly UpstreamLoad[],
  own: readonly UpstreamLoad[],
): Map<UpstreamId, UpstreamLoad> {
  const others = new Map(all.map((l) => [l.id, l]));
  for (const load of own) {
    const sum = others.get(load.id);
    // The sum may be slightly older than the load to subtract.
    if (sum) others.set(load.id, clampLoad(addLoad(sum, load, -1)));
  }
  return others;
}

/**
 * Records the heartbeats of upstreams and the reports of entries, at the leader. Detects upstreams
 * that have failed without announcing it. The records are discarded with the term of the leader.
 */

import type { Clock, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type {
  EntryRecord,
  FleetDemand,
  PlainHeartbeat,
  ServiceDemand,
  Slowness,
  Suspicion,
  TransferLoad,
  UpstreamLoad,
  UpstreamRecord,
  WatchCall,
} from '@tanagercart/protocol';
import { sumDemand } from './demand.js';
import { sumByService, sumByUpstream } from './load.js';

/** An entry that has not called for this long is no longer listed for callers. */
const entryTimeoutMs: Millis = 2500;

/** Reported load is ignored once it is older than this. */
const loadTimeoutMs: Millis = 2000;

/** Summed load is computed again after this time. */
const loadSumMaxAgeMs: Millis = 100;

/** The list of entries is made again after this time, as entries fall silent without a call. */
const entryListMaxAgeMs: Millis = 40;

/** A suspicion expires after this time, or with the next heartbeat. */
const suspicionTimeoutMs: Millis = 4000;

/** An upstream that fails this often in this time is an outlier, even if it sends heartbeats. */
const outlierFailures = 3;
const outlierWindowMs: Millis = 20_000;

/** The same for one that is silent this often, as far as requests and probes show. */
const outlierSilences = 5;

/** An upstream counts as lost at once when this many entries report that it cannot be reached. */
const reportersForLoss = 2;

/** Heartbeats that an upstream may miss before it counts as lost; fewer if it cannot be reached. */
const maxMissedHeartbeats = 3.2;
const maxMissedWhenSuspected = 1.5;

/** Suspicions closer together than this count as one failure. */
const sameFailureMs: Millis = 700;

/** For so long a sound upstream may be silent, and then go on. */
export const longestSoundSilenceMs: Millis = 1500;

/** The last report of an entry. */
interface EntrySeen {
  readonly entry: EntryRecord;
  readonly at: Millis;
  readonly loads: readonly UpstreamLoad[];
  readonly transfers: readonly TransferLoad[];
  /** Slow upstreams among those that it polls; undefined if it polls none. */
  readonly slow: readonly Slowness[] | undefined;
  /** Demand at it; undefined if it does not report any. */
  readonly demand: readonly ServiceDemand[] | undefined;
}

/**
 * What a call changes of the entry that sent it. Others are told of a loss at once, as callers must
 * be led elsewhere; what is gained waits for their next reply, as a large fleet that starts together
 * would otherwise end all its calls with each entry of it.
 */
type EntryChange = 'none' | 'gain' | 'loss';

/** The entries that are listed for callers. */
export interface EntryList {
  readonly entries: readonly EntryRecord[];
  /** Changes with each change of the list. */
  readonly revision: number;
}

/** The list, when it was made, and the revision of what it was made from. */
interface ListedEntries extends EntryList {
  readonly at: Millis;
  readonly seenRevision: number;
}

/** The load that all entries together caused at the time `at`. */
interface LoadSum {
  readonly at: Millis;
  readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>;
}

interface UpstreamSeen {
  readonly born: number;
  readonly sequence: number;
  readonly at: Millis;
}

/** An incarnation of an upstream that failed requests. */
interface Suspect {
  readonly born: number;
  /** Time of the latest failure. */
  readonly at: Millis;
  /** Entries that reported the failure, and those among them that could not reach the upstream. */
  readonly reporters: ReadonlySet<NodeId>;
  readonly unreached: ReadonlySet<NodeId>;
  /** Times of separate failures to reach it, and of separate silences, the latest last. */
  readonly failureTimes: readonly Millis[];
  readonly silenceTimes: readonly Millis[];
}

/** Tracks which entries and upstreams are alive, by the clock of the leader. */
export class Liveness {
  /** A number that changes when entries should be informed without delay. */
  revision = 0;
  private readonly entrySeen = new Map<NodeId, EntrySeen>();
  private readonly upstreamSeen = new Map<UpstreamId, UpstreamSeen>();
  private readonly suspects = new Map<UpstreamId, Suspect>();
  private readonly startedAt: Millis;
  private listed: ListedEntries = { entries: [], revision: 0, at: -Infinity, seenRevision: 0 };
  private loadSum: LoadSum = { at: -Infinity, loads: new Map() };

  private constructor(
    private readonly clock: Clock,
    private readonly heartbeatMs: Millis,
  ) {
    this.startedAt = clock.now();
  }

  /** `heartbeatMs` is the interval between two announcements of an upstream. */
  static create(clock: Clock, heartbeatMs: Millis): Liveness {
    return new Liveness(clock, heartbeatMs);
  }

  /** Records the call of an entry; returns whether other entries should be informed at once. */
  recordEntry(from: NodeId, call: WatchCall): boolean {
    const now = this.clock.now();
    const suspected = this.recordSuspicions(from, call.suspicions, now);
    const change = this.recordEntryState(from, call, now);
    if (suspected || change !== 'none') this.revision += 1;
    return suspected || change === 'loss';
  }

  /** Records an announcement; returns false if it is older than one of the same upstream. */
  recordHeartbeat({ id, born, sequence }: PlainHeartbeat): boolean {
    const known = this.upstreamSeen.get(id);
    const isOutdated =
      known && (known.born > born || (known.born === born && known.sequence > sequence));
    if (isOutdated) return false;
    this.upstreamSeen.set(id, { born, sequence, at: this.clock.now() });
    return true;
  }

  /** Number of the last announcement of an upstream; undefined before the first of this term. */
  sequenceOf(id: UpstreamId): number | undefined {
    return this.upstreamSeen.get(id)?.sequence;
  }

  /** Whether an upstream appears to have failed without announcing that it is gone. */
  isLost({ id, born }: UpstreamRecord): boolean {
    const { heartbeatMs } = this;
    const silentMs = this.silentMsOf(id);
    const soundSilentMs = heartbeatMs + longestSoundSilenceMs;
    if (silentMs > Math.max(heartbeatMs * maxMissedHeartbeats, soundSilentMs)) return true;
    if (this.isOutlier(id, born)) return true;
    const { unreached } = this.reportersOf(id, born);
    if (unreached.size >= reportersForLoss) return true;
    return unreached.size > 0 && silentMs > heartbeatMs * maxMissedWhenSuspected;
  }

  /**
   * Upstreams that entries should avoid: those that failed requests recently, and those that are
   * lost, even if no entry has sent them a request since.
   */
  excluded(records: Iterable<UpstreamRecord>): readonly Suspicion[] {
    const lost = [...records].filter((r) => r.phase === 'ready' && this.isLost(r));
    const lostIds = new Set(lost.map((r) => r.id));
    const suspected = this.suspicions.filter((s) => !lostIds.has(s.id));
    return [...suspected, ...lost.map(({ id, born }) => ({ id, born, ageMs: 0 }))];
  }

  /** Entries that have called recently. */
  get entries(): readonly EntryRecord[] {
    return this.entryList.entries;
  }

  /** The same, with a number that changes with each change of the list. */
  get entryList(): EntryList {
    const now = this.clock.now();
    const known = this.listed;
    const isCurrent = known.seenRevision === this.revision && now - known.at < entryListMaxAgeMs;
    if (isCurrent) return known;
    const entries = this.recentEntries(now).map((e) => e.entry);
    const isSame =
      entries.length === known.entries.length &&
      entries.every((entry, i) => isSameEntry(entry, known.entries[i]!));
    const list = isSame ? known : { entries, revision: known.revision + 1 };
    this.listed = { ...list, at: now, seenRevision: this.revision };
    return this.listed;
  }

  /** What the entries found slow; undefined while there is one that does not poll its share. */
  get slow(): readonly Slowness[] | undefined {
    const recent = this.recentEntries(this.clock.now());
    if (recent.length === 0 || recent.some((e) => e.slow === undefined)) return undefined;
    return recent.flatMap((e) => e.slow ?? []);
  }

  /** Number of entries that have called during this term. */
  get entryCount(): number {
    return this.entrySeen.size;
  }

  /** Load that all entries cause together; it may lack reports of the last `loadSumMaxAgeMs`. */
  get loads(): ReadonlyMap<UpstreamId, UpstreamLoad> {
    const now = this.clock.now();
    if (now - this.loadSum.at < loadSumMaxAgeMs) return this.loadSum.loads;
    this.loadSum = { at: now, loads: sumByUpstream(this.reports(now).flatMap((e) => e.loads)) };
    return this.loadSum.loads;
  }

  /** Demand at all entries together that report it. */
  get demand(): FleetDemand {
    const reports = this.reports(this.clock.now());
    return sumDemand(reports.flatMap((e) => (e.demand ? [e.demand] : [])));
  }

  /** Transfers between data centres of all entries, by service. */
  get transfers(): readonly TransferLoad[] {
    const reports = this.reports(this.clock.now());
    return [...sumByService(reports.flatMap((e) => e.transfers)).values()];
  }

  /** Upstreams that failed requests and have sent no heartbeat since, and outliers. */
  get suspicions(): readonly Suspicion[] {
    const now = this.clock.now();
    return [...this.suspects].flatMap(([id, { born, at }]) => {
      if (this.isOutlier(id, born)) return [{ id, born, ageMs: 0 }];
      return this.isFresh(id, at) ? [{ id, born, ageMs: now - at }] : [];
    });
  }

  /** Whether requests have failed repeatedly at an incarnation, even if it sends heartbeats. */
  isOutlier(id: UpstreamId, born: number): boolean {
    const suspect = this.suspects.get(id);
    if (suspect?.born !== born) return false;
    const now = this.clock.now();
    const recent = (times: readonly Millis[]) =>
      times.filter((t) => now - t < outlierWindowMs).length;
    return (
      recent(suspect.failureTimes) >= outlierFailures ||
      recent(suspect.silenceTimes) >= outlierSilences
    );
  }

  /** Number of entries that report the failure of an incarnation, while the suspicion holds. */
  reporterCount(id: UpstreamId, born: number): number {
    return this.reportersOf(id, born).reporters.size;
  }

  private reportersOf(id: UpstreamId, born: number): Pick<Suspect, 'reporters' | 'unreached'> {
    const suspect = this.suspects.get(id);
    const holds =
      suspect?.born === born && (this.isOutlier(id, born) || this.isFresh(id, suspect.at));
    return holds ? suspect : { reporters: new Set(), unreached: new Set() };
  }

  private recentEntries(now: Millis): readonly EntrySeen[] {
    return [...this.entrySeen.values()].filter((e) => now - e.at < entryTimeoutMs);
  }

  /** The entries whose last report still counts towards the sums over all. */
  private reports(now: Millis): readonly EntrySeen[] {
    return [...this.entrySeen.values()].filter((e) => now - e.at <= loadTimeoutMs);
  }

  /** Whether a suspicion of the time `at` still holds, as no heartbeat has arrived since. */
  private isFresh(id: UpstreamId, at: Millis): boolean {
    const heartbeatAt = this.upstreamSeen.get(id)?.at ?? -Infinity;
    return this.clock.now() - at < suspicionTimeoutMs && heartbeatAt <= at;
  }

  /** Time since the last heartbeat of an upstream, or since the term began if there was none. */
  private silentMsOf(id: UpstreamId): Millis {
    return this.clock.now() - (this.upstreamSeen.get(id)?.at ?? this.startedAt);
  }

  /** Records the state of an entry; returns how it changed for the others. */
  private recordEntryState(from: NodeId, call: WatchCall, now: Millis): EntryChange {
    const { entry, loads, transfers = [], slow, demand } = call;
    if (!entry) return 'none';
    const known = this.entrySeen.get(from);
    this.entrySeen.set(from, { entry, at: now, loads, transfers, slow, demand });
    if (!known || now - known.at > entryTimeoutMs) return 'gain';
    if (known.entry.isDetached !== entry.isDetached) return entry.isDetached ? 'loss' : 'gain';
    if (known.entry.phase === entry.phase) return 'none';
    return entry.phase === 'draining' ? 'loss' : 'gain';
  }

  /**
   * Records suspicions; returns whether entries should be informed. A further report of an entry,
   * whose failure seems later as its call took longer, changes nothing for them, nor do reports by
   * more entries than make an upstream count as lost.
   */
  private recordSuspicions(from: NodeId, suspicions: readonly Suspicion[], now: Millis): boolean {
    let changed = false;
    for (const { id, born, ageMs, isSilent = false } of suspicions) {
      const at = now - ageMs;
      const known = this.suspects.get(id);
      const current = known?.born === born && now - known.at < outlierWindowMs ? known : undefined;
      const toldBefore = isSilent ? current?.reporters : current?.unreached;
      if (toldBefore?.has(from) && current!.at >= at - 1) continue;
      const recent = current && now - current.at < suspicionTimeoutMs ? current : undefined;
      const isKnown = current !== undefined && this.isFresh(id, current.at);
      const isNewReporter = !recent?.reporters.has(from);
      const reporters = new Set([...(recent?.reporters ?? []), from]);
      const unreached = new Set([...(recent?.unreached ?? []), ...(isSilent ? [] : [from])]);
      const { failureTimes = [], silenceTimes = [] } = current ?? {};
      this.suspects.set(id, {
        born,
        at: Math.max(at, current?.at ?? at),
        reporters,
        unreached,
        failureTimes: isSilent ? failureTimes : withTime(failureTimes, at, now, sameFailureMs),
        silenceTimes: isSilent
          ? withTime(silenceTimes, at, now, longestSoundSilenceMs)
          : silenceTimes,
      });
      if (!isKnown || (isNewReporter && reporters.size <= reportersForLoss)) changed = true;
    }
    return changed;
  }
}

/** The recent ones of `times`, and `at` if it is more than `apartMs` after the last of them. */
function withTime(
  times: readonly Millis[],
  at: Millis,
  now: Millis,
  apartMs: Millis,
): readonly Millis[] {
  const recent = times.filter((t) => now - t < outlierWindowMs);
  return at - (recent.at(-1) ?? -Infinity) > apartMs ? [...recent, at] : recent;
}

function isSameEntry(a: EntryRecord, b: EntryRecord): boolean {
  return (
    a.node === b.node &&
    a.phase === b.phase &&
    a.address === b.address &&
    a.dataCentre === b.dataCentre &&
    a.isDetached === b.isDetached
  );
}

/** What the leader has heard lately of entries and upstreams; forgotten with its term. */

import type { Clock, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type {
  Announcement,
  EntryRecord,
  Suspicion,
  UpstreamLoad,
  UpstreamRecord,
  WatchCall,
} from '@tanagercart/protocol';
import { sumByUpstream } from './load.js';

/** An entry that was silent for this long is not named to callers any more. */
const entryMs: Millis = 2500;

/** Load that was told this long ago does not count any more. */
const loadMs: Millis = 2000;

/** A suspicion without a later heartbeat holds for this long. */
const suspicionMs: Millis = 4000;

/** An upstream is unfit, whatever its heartbeats say, once it failed this often in this time. */
const unfitTolds = 3;
const unfitMs: Millis = 20_000;

/** Entries that must not reach an upstream for it to count as lost at once. */
const entriesToLose = 2;

/** Heartbeats that an upstream may miss, and where requests failed at it besides. */
const missedHeartbeats = 3.2;
const missedWhenSuspected = 1.5;

/** Suspicions nearer to each other than this are of one failure. */
const oneFailureMs: Millis = 700;

interface EntrySeen {
  readonly entry: EntryRecord;
  readonly at: Millis;
  readonly loads: readonly UpstreamLoad[];
}

interface UpstreamSeen {
  readonly born: number;
  readonly sequence: number;
  readonly at: Millis;
}

interface Suspect {
  readonly born: number;
  readonly at: Millis;
  /** Entries that told it. */
  readonly by: ReadonlySet<NodeId>;
  /** Times at which it was told anew, the latest last. */
  readonly tolds: readonly Millis[];
}

/** Entries, heartbeats and suspicions by the clock of the leader. */
export class Roster {
  /** Changes with whatever entries should learn at once. */
  revision = 0;
  private readonly entrySeen = new Map<NodeId, EntrySeen>();
  private readonly upstreamSeen = new Map<UpstreamId, UpstreamSeen>();
  private readonly suspects = new Map<UpstreamId, Suspect>();
  private readonly since: Millis;

  private constructor(
    private readonly clock: Clock,
    private readonly heartbeatMs: Millis,
  ) {
    this.since = clock.now();
  }

  /** `heartbeatMs` is the time between two announcements of an upstream. */
  static create(clock: Clock, heartbeatMs: Millis): Roster {
    return new Roster(clock, heartbeatMs);
  }

  /** Takes note of what an entry tells; whether others should learn of it at once. */
  hearEntry(from: NodeId, call: WatchCall): boolean {
    const now = this.clock.now();
    const suspected = this.hearSuspicions(from, call.suspicions, now);
    const appeared = this.hearPhase(from, call, now);
    if (suspected || appeared) this.revision += 1;
    return suspected || appeared;
  }

  /** Whether an announcement is newer than any before it of the same upstream. */
  hearUpstream(announcement: Announcement): boolean {
    const { id, born, sequence } = announcement;
    const known = this.upstreamSeen.get(id);
    const late = known && (known.born > born || (known.born === born && known.sequence > sequence));
    if (late) return false;
    this.upstreamSeen.set(id, { born, sequence, at: this.clock.now() });
    return true;
  }

  /** Whether an upstream seems to be gone, though it never said so. */
  isLost({ id, born }: UpstreamRecord): boolean {
    const { heartbeatMs } = this;
    const silentMs = this.silenceOf(id);
    if (silentMs > heartbeatMs * missedHeartbeats) return true;
    if (this.isUnfit(id, born)) return true;
    const entries = this.suspectedBy(id, born);
    if (entries >= entriesToLose) return true;
    return entries > 0 && silentMs > heartbeatMs * missedWhenSuspected;
  }

  /** Upstreams that entries should pass by: failed lately, or lost though nobody asks them now. */
  toPassBy(records: Iterable<UpstreamRecord>): readonly Suspicion[] {
    const lost = [...records].filter((r) => r.phase === 'ready' && this.isLost(r));
    const isLost = new Set(lost.map((r) => r.id));
    const told = this.suspicions.filter((s) => !isLost.has(s.id));
    return [...told, ...lost.map(({ id, born }) => ({ id, born, ageMs: 0 }))];
  }

  /** Entries that were heard lately. */
  get entries(): readonly EntryRecord[] {
    const now = this.clock.now();
    const recent = [...this.entrySeen.values()].filter((e) => now - e.at < entryMs);
    return recent.map((e) => e.entry);
  }

  /** Entries that were ever heard in this term. */
  get entryCount(): number {
    return this.entrySeen.size;
  }

  /** Load by all entries together. */
  get loads(): ReadonlyMap<UpstreamId, UpstreamLoad> {
    const now = this.clock.now();
    const recent = [...this.entrySeen.values()].filter((e) => now - e.at <= loadMs);
    return sumByUpstream(recent.flatMap((e) => e.loads));
  }

  /** Upstreams that failed requests and were not heard since, or fail again and again. */
  get suspicions(): readonly Suspicion[] {
    const now = this.clock.now();
    return [...this.suspects].flatMap(([id, { born, at }]) => {
      if (this.isUnfit(id, born)) return [{ id, born, ageMs: 0 }];
      return this.isFresh(id, at) ? [{ id, born, ageMs: now - at }] : [];
    });
  }

  /** Whether requests fail at an incarnation again and again although its heartbeats come. */
  isUnfit(id: UpstreamId, born: number): boolean {
    const suspect = this.suspects.get(id);
    if (suspect?.born !== born) return false;
    const now = this.clock.now();
    return suspect.tolds.filter((t) => now - t < unfitMs).length >= unfitTolds;
  }

  /** How many entries did not reach an incarnation, which was not heard since. */
  suspectedBy(id: UpstreamId, born: number): number {
    const suspect = this.suspects.get(id);
    if (suspect?.born !== born) return 0;
    return this.isUnfit(id, born) || this.isFresh(id, suspect.at) ? suspect.by.size : 0;
  }

  /** Whether a suspicion of `at` still counts: nothing was heard of the upstream since. */
  private isFresh(id: UpstreamId, at: Millis): boolean {
    const heardAt = this.upstreamSeen.get(id)?.at ?? -Infinity;
    return this.clock.now() - at < suspicionMs && heardAt <= at;
  }

  /** How long an upstream was silent; since this term began where it was not heard in it. */
  private silenceOf(id: UpstreamId): Millis {
    return this.clock.now() - (this.upstreamSeen.get(id)?.at ?? this.since);
  }

  /** Whether an entry has another phase than before, or was not heard lately. */
  private hearPhase(from: NodeId, { entry, loads }: WatchCall, now: Millis): boolean {
    if (!entry) return false;
    const known = this.entrySeen.get(from);
    this.entrySeen.set(from, { entry, at: now, loads });
    return known?.entry.phase !== entry.phase || now - known.at > entryMs;
  }

  /** Whether there is a suspicion, or a second entry that shares it; further ones change nothing. */
  private hearSuspicions(from: NodeId, suspicions: readonly Suspicion[], now: Millis): boolean {
    let news = false;
    for (const { id, born, ageMs } of suspicions) {
      const at = now - ageMs;
      const known = this.suspects.get(id);
      const same = known?.born === born && now - known.at < unfitMs ? known : undefined;
      if (same?.by.has(from) && same.at >= at - 1) continue;
      const recent = same !== undefined && now - same.at < suspicionMs;
      const by = new Set([...(recent ? same.by : []), from]);
      const tolds = (same?.tolds ?? []).filter((t) => now - t < unfitMs);
      if (at - (tolds.at(-1) ?? -Infinity) > oneFailureMs) tolds.push(at);
      this.suspects.set(id, { born, at: Math.max(at, same?.at ?? at), by, tolds });
      if (by.size <= entriesToLose) news = true;
    }
    return news;
  }
}

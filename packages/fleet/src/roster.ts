/** What the leader has heard lately of entries and upstreams; forgotten with its term. */

import type { Clock, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import type {
  Announcement,
  EntryRecord,
  Suspicion,
  UpstreamLoad,
  WatchCall,
} from '@tanagercart/protocol';

/** An entry that was silent for this long is not named to callers any more. */
const entryMs: Millis = 2500;

/** Load that was told this long ago does not count any more. */
const loadMs: Millis = 2000;

/** A suspicion without a later heartbeat holds for this long. */
const suspicionMs: Millis = 4000;

/** An upstream is unfit, whatever its heartbeats say, once it failed this often in this time. */
const unfitTolds = 3;
const unfitMs: Millis = 20_000;

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
  private readonly entrySeen = new Map<NodeId, EntrySeen>();
  private readonly upstreamSeen = new Map<UpstreamId, UpstreamSeen>();
  private readonly suspects = new Map<UpstreamId, Suspect>();
  private readonly since: Millis;

  private constructor(private readonly clock: Clock) {
    this.since = clock.now();
  }

  static create(clock: Clock): Roster {
    return new Roster(clock);
  }

  /** Takes note of what an entry tells; whether others should learn of it at once. */
  hearEntry(from: NodeId, call: WatchCall): boolean {
    const now = this.clock.now();
    const news = this.hearSuspicions(from, call.suspicions, now);
    const { entry, loads } = call;
    if (!entry) return news;
    const known = this.entrySeen.get(from);
    this.entrySeen.set(from, { entry, at: now, loads });
    return news || known?.entry.phase !== entry.phase || now - known.at > entryMs;
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

  /** How long an upstream was silent; since this term began where it was not heard in it. */
  silenceOf(id: UpstreamId): Millis {
    return this.clock.now() - (this.upstreamSeen.get(id)?.at ?? this.since);
  }

  /** Entries that were heard lately. */
  get entries(): readonly EntryRecord[] {
    const now = this.clock.now();
    const recent = [...this.entrySeen.values()].filter((e) => now - e.at < entryMs);
    return recent.map((e) => e.entry);
  }

  /** Load by all entries but one. */
  loadsWithout(node: NodeId): readonly UpstreamLoad[] {
    const now = this.clock.now();
    const sums = new Map<UpstreamId, UpstreamLoad>();
    for (const [other, { at, loads }] of this.entrySeen) {
      if (other === node || now - at > loadMs) continue;
      for (const load of loads) sums.set(load.id, sum(sums.get(load.id), load));
    }
    return [...sums.values()];
  }

  /** Upstreams that failed requests and were not heard since, or fail again and again. */
  get suspicions(): readonly Suspicion[] {
    const now = this.clock.now();
    return [...this.suspects].flatMap(([id, { born, at }]) => {
      if (this.isUnfit(id, born)) return [{ id, born, ageMs: 0 }];
      const heardAt = this.upstreamSeen.get(id)?.at ?? -Infinity;
      return now - at < suspicionMs && heardAt <= at ? [{ id, born, ageMs: now - at }] : [];
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
    const isCurrent = this.suspicions.some((s) => s.id === id && s.born === born);
    return isCurrent ? this.suspects.get(id)!.by.size : 0;
  }

  /** Load by all entries at an upstream. */
  sequencesAt(id: UpstreamId): number {
    const now = this.clock.now();
    const recent = [...this.entrySeen.values()].filter((e) => now - e.at < loadMs);
    const loads = recent.flatMap((e) => e.loads.filter((l) => l.id === id));
    return loads.reduce((sequences, l) => sequences + l.sequences, 0);
  }

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
      news = true;
    }
    return news;
  }
}

function sum(a: UpstreamLoad | undefined, b: UpstreamLoad): UpstreamLoad {
  if (!a) return b;
  return {
    id: b.id,
    sequences: a.sequences + b.sequences,
    entered: a.entered + b.entered,
    tokenLayers: a.tokenLayers + b.tokenLayers,
  };
}

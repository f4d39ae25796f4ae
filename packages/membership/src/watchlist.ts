/** The upstreams that one node watches: who is silent, and how the others do. */

import type { Clock, Millis, UpstreamId } from '@tanagercart/base';
import { Damping } from './damping.js';
import { SilenceDetector } from './detector.js';
import { HealthRecord } from './health.js';
import type { Health, UpstreamLoad } from './health.js';

/** Share of the watched upstreams whose silence at once points to this node rather than to them. */
const massShare = 0.5;

/** Fewest watched upstreams for which that is judged. */
const massLeast = 4;

/** How long a mass silence must last before it is believed, in milliseconds. */
const massHoldMs: Millis = 4000;

interface Watched {
  detector: SilenceDetector;
  readonly record: HealthRecord;
  load: UpstreamLoad;
}

/** Detectors and measures of each upstream under watch. */
export class Watchlist {
  private readonly watched = new Map<UpstreamId, Watched>();
  private readonly damping: Damping;
  private massSince: Millis | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly expectedMs: Millis,
  ) {
    this.damping = Damping.create(clock);
  }

  static create(clock: Clock, expectedMs: Millis): Watchlist {
    return new Watchlist(clock, expectedMs);
  }

  /** Begins to watch an upstream, unless it is watched. */
  expect(id: UpstreamId): void {
    if (this.watched.has(id)) return;
    const detector = SilenceDetector.create(this.clock.now(), this.expectedMs);
    this.watched.set(id, { detector, record: HealthRecord.create(), load: {} });
  }

  /** Notes a heartbeat. */
  heard(id: UpstreamId, load: UpstreamLoad = {}): void {
    this.expect(id);
    const w = this.watched.get(id)!;
    w.detector.heard(this.clock.now());
    w.record.note(load);
    w.load = load;
  }

  /** Ends the watch on all others. */
  keepOnly(ids: ReadonlySet<UpstreamId>): void {
    for (const [id, { detector }] of this.watched) {
      // One that is not recorded yet is kept while it announces itself.
      if (!ids.has(id) && detector.isSilent(this.clock.now())) this.watched.delete(id);
    }
  }

  /** Counts a pause of this process as no silence of others. */
  paused(ms: Millis): void {
    if (ms > 0) for (const { detector } of this.watched.values()) detector.shift(ms);
  }

  /** Forgets all silence, as after this node was cut off itself. */
  startOver(): void {
    this.massSince = undefined;
    for (const w of this.watched.values()) {
      w.detector = SilenceDetector.create(this.clock.now(), this.expectedMs);
    }
  }

  /** Upstreams that count as down: none while so many are silent that the fault may be here. */
  silent(): readonly UpstreamId[] {
    const now = this.clock.now();
    const ids = [...this.watched].filter(([, w]) => w.detector.isSilent(now)).map(([id]) => id);
    const mass = ids.length >= massLeast && ids.length > this.watched.size * massShare;
    if (!mass) {
      this.massSince = undefined;
      return ids;
    }
    this.massSince ??= now;
    return this.massSince + massHoldMs <= now ? ids : [];
  }

  /** Notes that an upstream was recorded as down. */
  fell(id: UpstreamId): void {
    this.damping.fell(id);
    this.watched.delete(id);
  }

  /** Whether an upstream went up and down too often to be let in now. */
  keepsOut(id: UpstreamId): boolean {
    return this.damping.keepsOut(id);
  }

  /** How a watched upstream does. */
  health(id: UpstreamId): Health {
    const w = this.watched.get(id);
    if (w?.detector.isLate(this.clock.now())) return { kind: 'late' };
    return w?.record.health ?? { kind: 'well' };
  }

  /** The last load that a watched upstream reported. */
  load(id: UpstreamId): UpstreamLoad {
    return this.watched.get(id)?.load ?? {};
  }
}

/** The upstreams that one node watches: which of them are silent, and the health of the others. */

import type { Clock, Millis, UpstreamId } from '@tanagercart/base';
import { FlapDamping } from './damping.js';
import { FailureDetector } from './detector.js';
import { HealthTracker } from './health.js';
import type { Health, UpstreamLoad } from './health.js';

/**
 * A mass silence: more than this share of the watched upstreams, and at least this number, are
 * silent at once. This points to a fault of this node rather than of the upstreams.
 */
const massSilenceShare = 0.5;
const minMassSilence = 4;

/** Time for which a mass silence must last before the upstreams count as down, in milliseconds. */
const massSilenceHoldMs: Millis = 4000;

interface WatchedUpstream {
  detector: FailureDetector;
  readonly tracker: HealthTracker;
  load: UpstreamLoad;
}

/** A failure detector and a health tracker for each watched upstream. */
export class Watchlist {
  private readonly watched = new Map<UpstreamId, WatchedUpstream>();
  private readonly damping: FlapDamping;
  private massSilenceSince: Millis | undefined;

  private constructor(
    private readonly clock: Clock,
    private readonly expectedMs: Millis,
  ) {
    this.damping = FlapDamping.create(clock);
  }

  /** `expectedMs` is the expected interval between two heartbeats. */
  static create(clock: Clock, expectedMs: Millis): Watchlist {
    return new Watchlist(clock, expectedMs);
  }

  /** Starts to watch an upstream, unless it is watched already. */
  watch(id: UpstreamId): void {
    if (this.watched.has(id)) return;
    const detector = FailureDetector.create(this.clock.now(), this.expectedMs);
    this.watched.set(id, { detector, tracker: HealthTracker.create(), load: {} });
  }

  /** Records a heartbeat and the load that it reports. */
  recordHeartbeat(id: UpstreamId, load: UpstreamLoad = {}): void {
    this.watch(id);
    const w = this.watched.get(id)!;
    w.detector.recordHeartbeat(this.clock.now());
    w.tracker.record(load);
    w.load = load;
  }

  /** Stops watching all upstreams that are silent and not in `ids`. */
  retain(ids: ReadonlySet<UpstreamId>): void {
    for (const [id, { detector }] of this.watched) {
      // An upstream that is not recorded yet is watched as long as it sends heartbeats.
      if (!ids.has(id) && detector.isSilent(this.clock.now())) this.watched.delete(id);
    }
  }

  /** Excludes a pause of this process of `ms` milliseconds from the silence of the upstreams. */
  excludePause(ms: Millis): void {
    if (ms > 0) for (const { detector } of this.watched.values()) detector.excludePause(ms);
  }

  /** Restarts all failure detectors, as after this node was itself cut off. */
  reset(): void {
    this.massSilenceSince = undefined;
    for (const w of this.watched.values()) {
      w.detector = FailureDetector.create(this.clock.now(), this.expectedMs);
    }
  }

  /** The upstreams that count as down; none during the hold time of a mass silence. */
  silentUpstreams(): readonly UpstreamId[] {
    const now = this.clock.now();
    const ids = [...this.watched].filter(([, w]) => w.detector.isSilent(now)).map(([id]) => id);
    const isMassSilence =
      ids.length >= minMassSilence && ids.length > this.watched.size * massSilenceShare;
    if (!isMassSilence) {
      this.massSilenceSince = undefined;
      return ids;
    }
    this.massSilenceSince ??= now;
    return this.massSilenceSince + massSilenceHoldMs <= now ? ids : [];
  }

  /** Records that the shared state has an upstream as down, and stops watching it. */
  recordDown(id: UpstreamId): void {
    this.damping.recordFailure(id);
    this.watched.delete(id);
  }

  /** Whether an upstream has failed too often to be recorded as up now. */
  isSuppressed(id: UpstreamId): boolean {
    return this.damping.isSuppressed(id);
  }

  /** The health of a watched upstream; `well` for one that is not watched. */
  health(id: UpstreamId): Health {
    const w = this.watched.get(id);
    if (w?.detector.isLate(this.clock.now())) return { kind: 'late' };
    return w?.tracker.health ?? { kind: 'well' };
  }

  /** The load that a watched upstream reported last; empty for one that is not watched. */
  load(id: UpstreamId): UpstreamLoad {
    return this.watched.get(id)?.load ?? {};
  }
}

/**
 * The paces of upstreams, at the leader: opens one for an upstream that has started, recovered or
 * become very slow, steps it by the answers that entries report, and ends it. They are kept for one
 * term; the next leader takes them over from the reports of the entries.
 */

import type { Logger, Millis, NodeId, ServiceId, UpstreamId } from '@tanagercart/base';
import type { PaceReport, PaceRow, Slowness, UpstreamRecord } from '@tanagercart/protocol';
import { emptyTally, isPaceOver, openPace, stepPace, verdictOf } from './pace.js';
import type { Pace, Tally, Verdict } from './pace.js';
import { Holders } from './holders.js';

/** An upstream counts as new for this long after its start, as in `membership/slowstart`. */
const newMs: Millis = 8000;

/** An upstream that is paced again within this time keeps its falls. */
const flapMs: Millis = 60_000;

/**
 * Other upstreams, without a pace, that can do the work of one that is paced. With fewer of them, the
 * pace would withhold more than a fifth of what they can serve together.
 */
const minPeers = 4;

/** An upstream that is this many times slower than its kind is paced. */
const greyFactor = 3;

/** Why a pace begins. */
type PaceCause = 'started' | 'recovered' | 'grey' | 'reported';

/**
 * Why a pace ends; `gone` where the incarnation is no longer ready, `needed` where too few others
 * could take its work.
 */
type PaceEnd = 'done' | 'gone' | 'cold-start' | 'needed';

/** What the leader knows of an upstream beside its record. */
export interface PaceSigns {
  readonly isLost: (upstream: UpstreamRecord) => boolean;
  readonly slow: readonly Slowness[];
  /** Requests in progress at an upstream, as entries report them. */
  readonly sequencesAt: (id: UpstreamId) => number;
}

/** An incarnation as it was observed last. */
interface Observed {
  readonly born: number;
  /** Whether it takes requests, as far as is known. */
  readonly isServing: boolean;
  readonly isGrey: boolean;
}

/** The pace of an incarnation, and what entries report of its present step. */
interface Paced {
  readonly born: number;
  readonly pace: Pace;
  readonly reports: Map<NodeId, Tally>;
  /** Time of the last report with other counts than before. */
  answeredAt: Millis;
}

/** The last pace of an upstream, which may have ended. */
interface LastPace {
  readonly born: number;
  readonly openedAt: Millis;
  readonly step: number;
  readonly falls: number;
}

/** Keeps the paces of all upstreams; the caller passes the time. */
export class Paces {
  /** Undefined before the first observation, as what a term begins with is not new. */
  private observed: Map<UpstreamId, Observed> | undefined;
  private readonly paced = new Map<UpstreamId, Paced>();
  private readonly last = new Map<UpstreamId, LastPace>();

  private constructor(private readonly logger: Logger) {}

  static create(logger: Logger): Paces {
    return new Paces(logger);
  }

  /** The paces for the bulletin. */
  get rows(): readonly PaceRow[] {
    return [...this.paced].map(([id, { born, pace }]) => [
      id,
      born,
      pace.limit,
      pace.step,
      pace.turn,
    ]);
  }

  /** Records what an entry reports. */
  record(from: NodeId, reports: readonly PaceReport[], now: Millis): void {
    for (const [id, born, limit, step, good, slow, failed] of reports) {
      const known = this.paced.get(id);
      if (isAhead({ born, limit, step }, known ?? this.last.get(id))) {
        this.adopt(id, born, { ...openPace(now, step, known?.pace.falls), limit }, now);
      }
      const paced = this.paced.get(id);
      if (paced?.born !== born || paced.pace.step !== step) continue;
      const tally = { good, slow, failed };
      if (!isSameTally(paced.reports.get(from) ?? emptyTally, tally)) paced.answeredAt = now;
      paced.reports.set(from, tally);
    }
  }

  /** Opens, steps and ends paces; returns whether any has changed. */
  observe(upstreams: readonly UpstreamRecord[], now: Millis, signs: PaceSigns): boolean {
    const before = this.observed;
    const observed = observe(upstreams, signs);
    this.observed = observed;
    let hasChanged = false;
    for (const upstream of upstreams) {
      const { id } = upstream;
      const cause = before && causeOf(before.get(id), observed.get(id)!);
      // The factor of a slow upstream may move around the bound.
      const isPaced = this.paced.get(id)?.born === upstream.born;
      if (cause && !(cause === 'grey' && isPaced)) this.open(upstream, cause, now);
      hasChanged = this.step(upstream, now, signs) || cause !== undefined || hasChanged;
    }
    this.dropUnknown(observed);
    const hasCold = this.endColdStarts(upstreams, now);
    return this.endNeeded(upstreams) || hasCold || hasChanged;
  }

  private open({ id, born }: UpstreamRecord, cause: PaceCause, now: Millis): void {
    const last = this.last.get(id);
    const hasFlapped = last !== undefined && now - last.openedAt < flapMs;
    const pace = openPace(now, (last?.step ?? 0) + 1, hasFlapped ? last.falls + 1 : 0);
    this.begin(id, born, pace, now);
    this.logger.info('Paces an upstream.', { upstream: id, cause, limit: 1, falls: pace.falls });
  }

  private adopt(id: UpstreamId, born: number, pace: Pace, now: Millis): void {
    const { limit, step } = pace;
    const openedAt = this.paced.has(id) ? this.last.get(id)?.openedAt : undefined;
    this.begin(id, born, pace, openedAt ?? now);
    this.logger.info('Paces an upstream.', { upstream: id, cause: 'reported', limit, step });
  }

  private begin(id: UpstreamId, born: number, pace: Pace, openedAt: Millis): void {
    this.paced.set(id, { born, pace, reports: new Map(), answeredAt: -Infinity });
    this.last.set(id, { born, openedAt, step: pace.step, falls: pace.falls });
  }

  /** Steps the pace of an upstream, or ends it; returns whether it did. */
  private step(upstream: UpstreamRecord, now: Millis, signs: PaceSigns): boolean {
    const { id } = upstream;
    const paced = this.paced.get(id);
    if (!paced) return false;
    const isGone = upstream.born > paced.born || upstream.phase !== 'ready';
    if (isGone) return this.end(id, 'gone');
    const { pace } = paced;
    if (isPaceOver(pace, upstream.slots, now)) return this.end(id, 'done');
    const tally = [...paced.reports.values()].reduce(addTally, emptyTally);
    const verdict = verdictOf(pace, tally, now, undefined, paced.answeredAt);
    if (!verdict || (verdict === 'kept' && signs.sequencesAt(id) > 0)) return false;
    const next = stepPace(pace, verdict, tally, now);
    // A turn begins no new step, so that its answers go on counting.
    const reports = verdict === 'kept' ? paced.reports : new Map<NodeId, Tally>();
    this.paced.set(id, { ...paced, pace: next, reports });
    this.last.set(id, { ...this.last.get(id)!, step: next.step, falls: next.falls });
    this.logStep(id, verdict, next, tally);
    return isPaceOver(next, upstream.slots, now) ? this.end(id, 'done') : true;
  }

  private logStep(
    upstream: UpstreamId,
    verdict: Verdict,
    { limit, step }: Pace,
    tally: Tally,
  ): void {
    const fields = { upstream, verdict, limit, step, ...tally };
    // An upstream without callers is dealt anew again and again.
    if (verdict === 'kept') this.logger.debug('Pace of an upstream.', fields);
    else this.logger.info('Pace of an upstream.', fields);
  }

  private end(id: UpstreamId, reason: PaceEnd): true {
    const limit = this.paced.get(id)?.pace.limit;
    this.paced.delete(id);
    this.logger.info('Paces an upstream no longer.', { upstream: id, reason, limit });
    return true;
  }

  private dropUnknown(observed: ReadonlyMap<UpstreamId, Observed>): void {
    for (const id of this.last.keys()) {
      if (observed.has(id)) continue;
      if (this.paced.has(id)) this.end(id, 'gone');
      this.last.delete(id);
    }
  }

  /**
   * Ends the paces of services most of whose upstreams are new, as no others could take their work.
   * Returns whether there were any.
   */
  private endColdStarts(upstreams: readonly UpstreamRecord[], now: Millis): boolean {
    if (this.paced.size === 0) return false;
    const ready = upstreams.filter((u) => u.phase === 'ready');
    const paced = ready.filter((u) => this.paced.has(u.id));
    const all = countByService(ready);
    const fresh = countByService(ready.filter((u) => this.isNew(u, now)));
    const cold = paced.filter((u) => fresh.get(u.service)! * 2 > all.get(u.service)!);
    for (const { id } of cold) this.end(id, 'cold-start');
    return cold.length > 0;
  }

  /**
   * Ends the paces of upstreams whose work too few others could take, as their limit would leave more
   * requests without a place than it protects. Returns whether there were any.
   */
  private endNeeded(upstreams: readonly UpstreamRecord[]): boolean {
    if (this.paced.size === 0) return false;
    const holders = Holders.create(upstreams.filter((u) => !this.paced.has(u.id)));
    const needed = upstreams.filter((u) => this.paced.has(u.id) && holders.leastFor(u) < minPeers);
    for (const { id } of needed) this.end(id, 'needed');
    return needed.length > 0;
  }

  private isNew({ id }: UpstreamRecord, now: Millis): boolean {
    return this.paced.has(id) || now - (this.last.get(id)?.openedAt ?? -Infinity) < newMs;
  }
}

function observe(
  upstreams: readonly UpstreamRecord[],
  { isLost, slow }: PaceSigns,
): Map<UpstreamId, Observed> {
  const grey = new Set(slow.filter((s) => s.factor >= greyFactor).map((s) => s.id));
  return new Map(
    upstreams.map((u) => {
      const isServing = u.phase === 'ready' && !isLost(u);
      return [u.id, { born: u.born, isServing, isGrey: isServing && grey.has(u.id) }];
    }),
  );
}

/** Why an upstream is to be paced; undefined where it is not. */
function causeOf(before: Observed | undefined, after: Observed): PaceCause | undefined {
  if (!after.isServing) return undefined;
  if (before?.born !== after.born) return 'started';
  if (!before.isServing) return 'recovered';
  return after.isGrey && !before.isGrey ? 'grey' : undefined;
}

/** Whether an entry has stepped a pace further than this leader knows. */
function isAhead(
  { born, limit, step }: Pick<Pace, 'limit' | 'step'> & { readonly born: number },
  known: Paced | LastPace | undefined,
): boolean {
  if (!known) return true;
  if (born !== known.born) return born > known.born;
  if (!('pace' in known)) return step > known.step;
  const { pace } = known;
  if (step !== pace.step) return step > pace.step;
  // Entries that stepped alone may differ; the lowest limit is the safe one.
  return limit < pace.limit;
}

function isSameTally(a: Tally, b: Tally): boolean {
  return a.good === b.good && a.slow === b.slow && a.failed === b.failed;
}

function addTally(a: Tally, b: Tally): Tally {
  return { good: a.good + b.good, slow: a.slow + b.slow, failed: a.failed + b.failed };
}

function countByService(upstreams: readonly UpstreamRecord[]): ReadonlyMap<ServiceId, number> {
  const counts = new Map<ServiceId, number>();
  for (const { service } of upstreams) counts.set(service, (counts.get(service) ?? 0) + 1);
  return counts;
}

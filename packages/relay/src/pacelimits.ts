/**
 * What an entry does for the pace of upstreams: judges the answers that it receives, reports them to
 * the leader, and applies its part of each limit. While the bulletin is old, it steps the limits by
 * its own answers. See `docs/design/pace.md`.
 */

import type { Clock, Logger, Metrics, Millis, NodeId, UpstreamId } from '@tanagercart/base';
import {
  emptyTally,
  limitPartOf,
  openPace,
  roundOf,
  stepPace,
  verdictOf,
} from '@tanagercart/fleet';
import type { FleetView, Pace, Tally } from '@tanagercart/fleet';
import { predictedMs } from '@tanagercart/layers';
import type {
  EntryRecord,
  PaceReport,
  PaceRow,
  UpstreamIncarnation,
  UpstreamRecord,
} from '@tanagercart/protocol';
import { expectedWork } from './balancer.js';
import type { Target } from './balancer.js';
import { isStream } from './call.js';
import type { Call } from './call.js';
import { loadFactor } from './estimate.js';
import type { Loads } from './loads.js';

/**
 * A bulletin older than this is not waited for. The leader of a large fleet may hold a call for
 * 1.5 s.
 */
const oldBulletinMs: Millis = 2000;

/**
 * An answer is slow where the paced stages alone would have to be this many times slower than
 * predicted, and the answer takes at least twice as long as predicted, as smaller deviations of a
 * long path are no sign of one stage in it.
 */
const slowFactor = 3;
const minSlowRatio = 2;

/** Weight of the newest answer in the mean ratio of actual to predicted time. */
const smoothingFactor = 0.1;

/** How long an attempt should take, in units of the prediction. */
export interface Expectation {
  readonly startedAt: Millis;
  /** Attempts with the same key are compared with one another. */
  readonly key: string;
  readonly predicted: number;
  /** The part of it that falls on paced upstreams. */
  readonly predictedPaced: number;
  readonly paced: readonly UpstreamIncarnation[];
}

interface Paced {
  readonly born: number;
  readonly pace: Pace;
  /** Time at which this entry learned of the step. */
  readonly since: Millis;
  tally: Tally;
  /** This entry's part of the limit among `entries`; undefined until it is needed. */
  part: { readonly entries: readonly EntryRecord[]; readonly requests: number } | undefined;
}

export interface PaceLimitsOptions {
  readonly self: NodeId;
  readonly view: Pick<FleetView, 'paces' | 'entries' | 'ageMs' | 'peerLoadAt'>;
  readonly loads: Pick<Loads, 'at'>;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** The limits of paced upstreams as this entry applies them. */
export class PaceLimits {
  private readonly paced = new Map<UpstreamId, Paced>();
  /** The rows of the bulletin that `paced` follows. */
  private applied: readonly PaceRow[] | undefined;
  /** Mean ratio of actual to predicted time at upstreams that are not paced, by key. */
  private readonly meanRatios = new Map<string, number>();

  private constructor(private readonly o: PaceLimitsOptions) {}

  static create(options: PaceLimitsOptions): PaceLimits {
    return new PaceLimits(options);
  }

  /** Number of paced upstreams. */
  get size(): number {
    this.follow();
    return this.paced.size;
  }

  /** What the leader is told of paced upstreams. */
  get reports(): readonly PaceReport[] {
    this.follow();
    return [...this.paced].map(([id, { born, pace, tally }]) => [
      id,
      born,
      pace.limit,
      pace.step,
      tally.good,
      tally.slow,
      tally.failed,
    ]);
  }

  /** Whether `sequences` requests of this entry use its part of the limit; false without a pace. */
  isFull(upstream: UpstreamRecord, sequences: number): boolean {
    const paced = this.pacedOf(upstream);
    return paced !== undefined && sequences >= this.partAt(upstream, paced);
  }

  /** The limit on the requests of all entries; undefined without a pace. */
  limitOf(upstream: UpstreamIncarnation): number | undefined {
    return this.pacedOf(upstream)?.pace.limit;
  }

  /** How long an attempt that starts now should take. */
  expect(call: Call, target: Target, startedAt: Millis): Expectation {
    const { upstream, path } = target;
    const { engine } = call.service;
    const mode = isStream(call) ? 'first' : 'whole';
    const key = `${call.service.id}/${mode}`;
    if (!engine || !path) {
      const predicted = this.predictedAt(upstream);
      const paced = this.pacedOf(upstream) ? [upstream] : [];
      return { startedAt, key, predicted, predictedPaced: predicted, paced };
    }
    const work = expectedWork(call, engine);
    const size = mode === 'first' ? { ...work, answerTokens: 1 } : work;
    let [predicted, predictedPaced] = [0, 0];
    const paced: UpstreamIncarnation[] = [];
    for (const segment of path) {
      const ms = predictedMs(engine, segment, size);
      predicted += ms;
      const known = this.pacedAt(segment.stage.id);
      if (!known) continue;
      predictedPaced += ms;
      paced.push({ id: segment.stage.id, born: known.born });
    }
    return { startedAt, key, predicted, predictedPaced, paced };
  }

  /** Records that an attempt was answered: with its first event if it is a stream. */
  recordAnswer(expectation: Expectation, tookMs: Millis): void {
    const { key, predicted, paced, startedAt } = expectation;
    if (!(predicted > 0)) return;
    if (paced.length === 0) {
      const ratio = tookMs / predicted;
      const mean = this.meanRatios.get(key) ?? ratio;
      this.meanRatios.set(key, mean + smoothingFactor * (ratio - mean));
      return;
    }
    const answer = this.isSlow(expectation, tookMs) ? 'slow' : 'good';
    for (const upstream of paced) this.record(upstream, answer, startedAt);
  }

  /** Records that an attempt was given up without an answer, which says something only if slow. */
  recordUnanswered(expectation: Expectation, tookMs: Millis): void {
    if (!this.isSlow(expectation, tookMs)) return;
    for (const upstream of expectation.paced) this.record(upstream, 'slow', expectation.startedAt);
  }

  /** Counts an answer for the pace of an upstream, if the attempt started within the present step. */
  record(upstream: UpstreamIncarnation, answer: keyof Tally, startedAt: Millis): void {
    const paced = this.pacedOf(upstream);
    if (!paced || startedAt < paced.since) return;
    this.o.metrics.count('pace.answer', { answer });
    paced.tally = { ...paced.tally, [answer]: paced.tally[answer] + 1 };
  }

  private isSlow({ key, predicted, predictedPaced }: Expectation, tookMs: Millis): boolean {
    const mean = this.meanRatios.get(key);
    // Without answers of other upstreams there is nothing to compare with.
    if (mean === undefined) return false;
    const slackMs = Math.max(predictedPaced * (slowFactor - 1), predicted * (minSlowRatio - 1));
    return tookMs > mean * (predicted + slackMs);
  }

  /** Steps a limit by the answers to this entry alone, against its part of a round. */
  private stepAlone(id: UpstreamId, paced: Paced): Paced {
    const { clock, logger, metrics } = this.o;
    const now = clock.now();
    const part = paced.part?.requests ?? 0;
    const whole = roundOf(paced.pace.limit);
    // An entry without a part sent requests only where no other upstream could serve them.
    const round = part > 0 ? Math.min(part, whole) : whole;
    const verdict = verdictOf(paced.pace, paced.tally, now, round);
    if (!verdict || verdict === 'kept') return paced;
    const pace = stepPace(paced.pace, verdict, paced.tally, now);
    const stepped = { ...paced, pace, since: now, tally: emptyTally, part: undefined };
    this.paced.set(id, stepped);
    metrics.count('pace.step', { verdict });
    const fields = { upstream: id, verdict, limit: pace.limit, ...paced.tally };
    logger.info('Pace of an upstream, without the leader.', fields);
    return stepped;
  }

  /** Predicted response time of a plain upstream, as a multiple of that of an idle one. */
  private predictedAt({ id, slots }: UpstreamRecord): number {
    const { loads, view } = this.o;
    const sequences = (loads.at(id)?.sequences ?? 0) + (view.peerLoadAt(id)?.sequences ?? 0);
    return loadFactor(sequences, slots);
  }

  private partAt(upstream: UpstreamRecord, paced: Paced): number {
    const { self, view } = this.o;
    const { entries } = view;
    if (paced.part?.entries === entries) return paced.part.requests;
    const requests = limitPartOf(paced.pace, upstream, self, entries);
    paced.part = { entries, requests };
    return requests;
  }

  private pacedOf({ id, born }: UpstreamIncarnation): Paced | undefined {
    const paced = this.pacedAt(id);
    return paced?.born === born ? paced : undefined;
  }

  private pacedAt(id: UpstreamId): Paced | undefined {
    this.follow();
    const paced = this.paced.get(id);
    if (!paced || this.o.view.ageMs <= oldBulletinMs) return paced;
    return this.stepAlone(id, paced);
  }

  /** Follows the last bulletin, if it is not followed yet. */
  private follow(): void {
    const rows = this.o.view.paces;
    if (rows === this.applied) return;
    this.applied = rows;
    if (rows.length === 0 && this.paced.size === 0) return;
    const ids = new Set(rows.map(([id]) => id));
    for (const id of this.paced.keys()) if (!ids.has(id)) this.paced.delete(id);
    for (const row of rows) this.followRow(row);
  }

  private followRow([id, born, limit, step, turn]: PaceRow): void {
    const now = this.o.clock.now();
    const known = this.paced.get(id);
    const current = known?.born === born ? known : undefined;
    // The next report tells the leader of steps that this entry made without it.
    if (current && current.pace.step > step) return;
    const isSame = current?.pace.step === step && current.pace.limit === limit;
    if (isSame && current.pace.turn === turn) return;
    if (isSame) {
      this.paced.set(id, { ...current, pace: { ...current.pace, turn }, part: undefined });
      return;
    }
    if (current) {
      const verdict = limit > current.pace.limit ? 'grown' : 'fell';
      this.o.metrics.count('pace.step', { verdict });
    }
    const pace = { ...openPace(now, step), limit, turn };
    this.paced.set(id, { born, pace, since: now, tally: emptyTally, part: undefined });
  }
}

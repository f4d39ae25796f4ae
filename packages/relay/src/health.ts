/**
 * Passive health checks: outlier detection from the outcomes of this entry's own requests. Protects
 * against upstreams that fail or are slow while their heartbeats and active health checks are good.
 */

import type { Clock, Millis, UpstreamId } from '@tanagercart/base';
import { longestSoundSilenceMs } from '@tanagercart/fleet';
import type { Suspicion, UpstreamRecord } from '@tanagercart/protocol';

/** An upstream that failed is avoided for this long; doubles with each consecutive failure. */
const baseAvoidMs: Millis = 800;
const maxAvoidMs: Millis = 12_800;

/** Weight of the newest sample in the exponential moving averages. */
const smoothingFactor = 0.2;

/** Failures to reach an upstream are reported to the other entries for this long. */
const suspicionMs: Millis = 1500;

/**
 * What a failure says of the upstream: it answered, it was silent, which a sound one may be for a
 * second or so, or it has ended, as nothing listens at its address or another instance does.
 */
export type Contact = 'answered' | 'silent' | 'gone';

/** Outcomes at one incarnation of an upstream. */
interface UpstreamStats {
  readonly born: number;
  /** Consecutive failures, up to the last request. */
  failures: number;
  failedAt: Millis;
  /** The last failure at which the upstream was not reached, which is reported to others. */
  missed: { readonly at: Millis; readonly contact: Exclude<Contact, 'answered'> } | undefined;
  failureRate: number;
  /** Moving average of the response time; undefined before the first success. */
  meanMs: Millis | undefined;
}

/** Health of upstreams as this entry observes it. */
export class Health {
  private readonly stats = new Map<UpstreamId, UpstreamStats>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Health {
    return new Health(clock);
  }

  /** Records a request that was answered after `tookMs`. */
  recordSuccess(upstream: UpstreamRecord, tookMs: Millis): void {
    const stats = this.statsOf(upstream);
    stats.failures = 0;
    stats.missed = undefined;
    stats.failureRate *= 1 - smoothingFactor;
    stats.meanMs = stats.meanMs === undefined ? tookMs : movingAverage(stats.meanMs, tookMs);
  }

  /** Records a failed request, or one that has no answer yet as the upstream is silent. */
  recordFailure(upstream: UpstreamRecord, contact: Contact): void {
    const stats = this.statsOf(upstream);
    const at = this.clock.now();
    const { missed } = stats;
    const isSameSilence =
      contact === 'silent' &&
      missed?.contact === 'silent' &&
      at - missed.at < longestSoundSilenceMs;
    stats.failedAt = at;
    if (contact !== 'answered') stats.missed = { at, contact };
    if (isSameSilence) return;
    stats.failures += 1;
    stats.failureRate = movingAverage(stats.failureRate, 1);
  }

  /** Records that an upstream that was silent goes on. */
  recordReturn(upstream: UpstreamRecord): void {
    const stats = this.statsOf(upstream);
    stats.failures = 0;
    stats.missed = undefined;
  }

  /** Whether requests should go to other upstreams as long as there are any. */
  isAvoided(upstream: UpstreamRecord): boolean {
    const stats = this.stats.get(upstream.id);
    if (!stats || stats.born !== upstream.born || stats.failures === 0) return false;
    const ms = Math.min(maxAvoidMs, baseAvoidMs * 2 ** (stats.failures - 1));
    return this.clock.now() - stats.failedAt < ms;
  }

  /** Moving average of failures over requests, from 0 to 1; 0 where nothing was recorded. */
  failureRateOf(upstream: UpstreamRecord): number {
    const stats = this.stats.get(upstream.id);
    return stats?.born === upstream.born ? stats.failureRate : 0;
  }

  /** Moving average of the response time; undefined before the first success. */
  meanMsOf(upstream: UpstreamRecord): Millis | undefined {
    const stats = this.stats.get(upstream.id);
    return stats?.born === upstream.born ? stats.meanMs : undefined;
  }

  /** Upstreams that were not reached lately, as reported to the other entries. */
  get suspicions(): readonly Suspicion[] {
    const now = this.clock.now();
    return [...this.stats].flatMap(([id, { born, missed }]) => {
      if (!missed || now - missed.at >= suspicionMs) return [];
      const suspicion = { id, born, ageMs: now - missed.at };
      return [missed.contact === 'silent' ? { ...suspicion, isSilent: true } : suspicion];
    });
  }

  /** The stats of this incarnation; those of an earlier one are discarded. */
  private statsOf(upstream: UpstreamRecord): UpstreamStats {
    const known = this.stats.get(upstream.id);
    if (known?.born === upstream.born) return known;
    const fresh: UpstreamStats = {
      born: upstream.born,
      failures: 0,
      failedAt: -Infinity,
      missed: undefined,
      failureRate: 0,
      meanMs: undefined,
    };
    this.stats.set(upstream.id, fresh);
    return fresh;
  }
}

function movingAverage(average: number, sample: number): number {
  return average * (1 - smoothingFactor) + sample * smoothingFactor;
}

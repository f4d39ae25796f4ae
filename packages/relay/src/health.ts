/**
 * What this entry's own requests show of upstreams. Answers upstreams that fail or are slow while
 * their health checks are good: heartbeats say nothing about them, answers do.
 */

import type { Clock, Millis, UpstreamId } from '@tanagercart/base';
import type { Suspicion, UpstreamRecord } from '@tanagercart/protocol';

/** An upstream that failed is avoided for this long, doubled with each failure in a row. */
const avoidMs: Millis = 800;
const mostAvoidMs: Millis = 12_800;

/** Weight of the newest outcome in the means. */
const newest = 0.2;

/** Failures within this time are told to the other entries. */
const toldMs: Millis = 1500;

interface Seen {
  readonly born: number;
  failuresInRow: number;
  failedAt: Millis;
  /** Whether it was the connection that failed, so that others should know. */
  lostAt: Millis;
  failureShare: number;
  meanMs: Millis | undefined;
}

/** Outcomes by upstream. */
export class Health {
  private readonly seen = new Map<UpstreamId, Seen>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): Health {
    return new Health(clock);
  }

  /** A request was answered after `tookMs`. */
  recordSuccess(upstream: UpstreamRecord, tookMs: Millis): void {
    const seen = this.of(upstream);
    seen.failuresInRow = 0;
    seen.lostAt = -Infinity;
    seen.failureShare *= 1 - newest;
    seen.meanMs = seen.meanMs === undefined ? tookMs : mean(seen.meanMs, tookMs);
  }

  /** A request failed there; `lost` where the upstream itself seems to be gone. */
  recordFailure(upstream: UpstreamRecord, lost: boolean): void {
    const seen = this.of(upstream);
    seen.failuresInRow += 1;
    seen.failedAt = this.clock.now();
    if (lost) seen.lostAt = seen.failedAt;
    seen.failureShare = mean(seen.failureShare, 1);
  }

  /** Whether requests should go elsewhere where they can. */
  isAvoided(upstream: UpstreamRecord): boolean {
    const seen = this.seen.get(upstream.id);
    if (!seen || seen.born !== upstream.born || seen.failuresInRow === 0) return false;
    const ms = Math.min(mostAvoidMs, avoidMs * 2 ** (seen.failuresInRow - 1));
    return this.clock.now() - seen.failedAt < ms;
  }

  /** Share of recent requests that failed, from 0 to 1. */
  failureRateOf(upstream: UpstreamRecord): number {
    const seen = this.seen.get(upstream.id);
    return seen?.born === upstream.born ? seen.failureShare : 0;
  }

  /** Mean time of recent answers; undefined where none is known. */
  meanResponseMsOf(upstream: UpstreamRecord): Millis | undefined {
    const seen = this.seen.get(upstream.id);
    return seen?.born === upstream.born ? seen.meanMs : undefined;
  }

  /** Upstreams that seem to be gone, for the other entries. */
  get suspicions(): readonly Suspicion[] {
    const now = this.clock.now();
    return [...this.seen].flatMap(([id, { born, lostAt }]) =>
      now - lostAt < toldMs ? [{ id, born, ageMs: now - lostAt }] : [],
    );
  }

  private of(upstream: UpstreamRecord): Seen {
    const known = this.seen.get(upstream.id);
    if (known?.born === upstream.born) return known;
    const fresh: Seen = {
      born: upstream.born,
      failuresInRow: 0,
      failedAt: -Infinity,
      lostAt: -Infinity,
      failureShare: 0,
      meanMs: undefined,
    };
    this.seen.set(upstream.id, fresh);
    return fresh;
  }
}

function mean(known: number, next: number): number {
  return known * (1 - newest) + next * newest;
}

/**
 * The quarantine of poison requests. Protects against a request that crashes every upstream it is
 * sent to: after `strikeLimit` crashes, requests with its fingerprint are refused.
 */

import { unreachable } from '@tanagercart/base';
import type { Digest, Millis, UpstreamId } from '@tanagercart/base';

/** Number of counted crashes at which a request is quarantined. */
export const strikeLimit = 2;

/** How long strikes count after the last one; the quarantine ends with them. */
export const quarantineMs: Millis = 60 * 60_000;

/**
 * An upstream that crashes this often within `quarantineMs` is taken to be faulty itself, and its
 * crashes are counted against no request.
 */
const faultyUpstreamCrashes = 3;

/** Reports of crashes of one upstream that are less than this apart are taken for one crash. */
const sameCrashMs: Millis = 2000;

/**
 * Crashes of this many upstreams within `burstMs` of one another are taken for the loss of a rack,
 * and are counted against no request.
 */
const burstMinUpstreams = 4;

/** Time within which the crashes of the upstreams of a lost rack are detected. */
const burstMs: Millis = 1000;

/** A crash of an upstream while it ran a request. */
export interface Strike {
  readonly upstream: UpstreamId;
  /** Wall time of the node that detected the crash. */
  readonly at: Millis;
}

/** A quarantined request, as shown to operators. */
export interface Quarantined {
  readonly fingerprint: Digest;
  readonly upstreams: readonly UpstreamId[];
  /** Wall time of the last strike. */
  readonly since: Millis;
  /** Wall time at which the quarantine ends. */
  readonly until: Millis;
}

/** Commands that add, remove or lift strikes. */
export type QuarantineCommand =
  | {
      readonly kind: 'strike';
      readonly fingerprint: Digest;
      readonly upstream: UpstreamId;
      readonly at: Millis;
    }
  /** Removes all strikes, because a request with this fingerprint has been answered in full. */
  | { readonly kind: 'absolve'; readonly fingerprint: Digest; readonly at: Millis }
  /** Removes all strikes on behalf of an operator. */
  | { readonly kind: 'lift-quarantine'; readonly fingerprint: Digest };

/** The outcome of a quarantine command. */
export type QuarantineOutcome = { readonly kind: 'done' } | { readonly kind: 'stale' };

/** The table as a snapshot stores it. */
export interface QuarantineSnapshot {
  readonly strikes: readonly (readonly [Digest, readonly Strike[]])[];
  readonly crashes: readonly (readonly [UpstreamId, readonly Millis[]])[];
  /** The latest `at` of a command. */
  readonly latest: Millis;
}

/**
 * The crashes that each request may have caused. Crashes of faulty upstreams and of lost racks are
 * not counted. Strikes expire by the latest `at` of any command and not by the local clock, so that
 * every node removes them at the same log index.
 */
export class QuarantineTable {
  /** Strikes by the fingerprint of the request, the latest last. */
  private readonly strikes = new Map<Digest, readonly Strike[]>();
  /** Wall times of the crashes of each upstream, for any request. */
  private readonly crashes = new Map<UpstreamId, readonly Millis[]>();
  private latest: Millis = 0;

  static create(): QuarantineTable {
    return new QuarantineTable();
  }

  /** The upstreams of the strikes that count against this request at wall time `at`. */
  strikesOf(fingerprint: Digest, at: Millis = this.latest): readonly UpstreamId[] {
    const strikes = this.strikes.get(fingerprint) ?? [];
    const last = strikes.at(-1);
    if (!last || last.at + quarantineMs <= at) return [];
    return strikes.filter((s) => this.isCounted(s)).map((s) => s.upstream);
  }

  /** Whether requests with this fingerprint are refused at wall time `at`. */
  isQuarantined(fingerprint: Digest, at: Millis = this.latest): boolean {
    return this.strikesOf(fingerprint, at).length >= strikeLimit;
  }

  /** All requests that are quarantined at wall time `at`. */
  list(at: Millis = this.latest): readonly Quarantined[] {
    const quarantined: Quarantined[] = [];
    for (const [fingerprint, strikes] of this.strikes) {
      const since = strikes.at(-1)?.at ?? 0;
      if (!this.isQuarantined(fingerprint, at)) continue;
      const upstreams = this.strikesOf(fingerprint, at);
      quarantined.push({ fingerprint, upstreams, since, until: since + quarantineMs });
    }
    return quarantined;
  }

  apply(command: QuarantineCommand): QuarantineOutcome {
    switch (command.kind) {
      case 'strike':
        return this.recordStrike(command.fingerprint, command.upstream, command.at);
      case 'absolve':
        this.advanceTime(command.at);
        return this.removeStrikes(command.fingerprint);
      case 'lift-quarantine':
        return this.removeStrikes(command.fingerprint);
      default:
        return unreachable(command);
    }
  }

  snapshot(): QuarantineSnapshot {
    return { strikes: [...this.strikes], crashes: [...this.crashes], latest: this.latest };
  }

  restore(snapshot: QuarantineSnapshot): void {
    this.strikes.clear();
    this.crashes.clear();
    for (const [fingerprint, strikes] of snapshot.strikes) this.strikes.set(fingerprint, strikes);
    for (const [upstream, times] of snapshot.crashes) this.crashes.set(upstream, times);
    this.latest = snapshot.latest;
  }

  private recordStrike(fingerprint: Digest, upstream: UpstreamId, at: Millis): QuarantineOutcome {
    this.advanceTime(at);
    this.recordCrash(upstream, at);
    const known = this.strikes.get(fingerprint) ?? [];
    // A crash after a restart of the upstream adds another strike.
    const same = (s: Strike) => s.upstream === upstream && Math.abs(s.at - at) < sameCrashMs;
    if (known.some(same)) return { kind: 'stale' };
    this.strikes.set(fingerprint, [...known, { upstream, at }]);
    return { kind: 'done' };
  }

  private removeStrikes(fingerprint: Digest): QuarantineOutcome {
    return this.strikes.delete(fingerprint) ? { kind: 'done' } : { kind: 'stale' };
  }

  private recordCrash(upstream: UpstreamId, at: Millis): void {
    const times = this.crashes.get(upstream) ?? [];
    if (times.some((t) => Math.abs(t - at) < sameCrashMs)) return;
    this.crashes.set(upstream, [...times, at]);
  }

  /** Whether a strike counts against the request. */
  private isCounted(strike: Strike): boolean {
    const ownCrashes = this.crashes.get(strike.upstream) ?? [];
    return ownCrashes.length < faultyUpstreamCrashes && !this.isInBurst(strike.at);
  }

  /** Whether the crash at `at` belongs to the loss of a rack. */
  private isInBurst(at: Millis): boolean {
    let crashedUpstreams = 0;
    for (const times of this.crashes.values()) {
      if (times.some((t) => Math.abs(t - at) <= burstMs)) crashedUpstreams += 1;
    }
    return crashedUpstreams >= burstMinUpstreams;
  }

  /** Advances the time of the table to `at`, and removes the strikes and crashes that expired. */
  private advanceTime(at: Millis): void {
    this.latest = Math.max(this.latest, at);
    const expired = this.latest - quarantineMs;
    for (const [fingerprint, strikes] of this.strikes) {
      if ((strikes.at(-1)?.at ?? 0) <= expired) this.strikes.delete(fingerprint);
    }
    for (const [upstream, times] of this.crashes) {
      const kept = times.filter((t) => t > expired);
      if (kept.length === 0) this.crashes.delete(upstream);
      else if (kept.length < times.length) this.crashes.set(upstream, kept);
    }
  }
}

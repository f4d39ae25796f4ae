/** Requests that crash the upstreams that run them. */

import { unreachable } from '@tanagercart/base';
import type { Digest, Millis, UpstreamId } from '@tanagercart/base';

/** Upstreams that one request may crash before it is quarantined. */
export const strikeLimit = 2;

/** Time after its last strike for which a request stays suspect or quarantined, in milliseconds. */
export const quarantineMs: Millis = 60 * 60_000;

/** Crashes at different times that make an upstream itself the suspect. */
const badUpstreamCrashes = 3;

/** Crashes of one upstream within this time are one crash, in milliseconds. */
const oneCrashMs: Millis = 2000;

/** Upstreams that crash within `burstMs` of one another, by loss of a rack and not by a request. */
const burstUpstreams = 4;

/** Time within which the losses of one rack are seen, in milliseconds. */
const burstMs: Millis = 1000;

/** One crash of an upstream while it ran a request. */
export interface Strike {
  readonly upstream: UpstreamId;
  /** Wall time of the node that saw it. */
  readonly at: Millis;
}

/** A quarantined request. */
export interface Quarantined {
  readonly fingerprint: Digest;
  readonly upstreams: readonly UpstreamId[];
  readonly since: Millis;
  readonly until: Millis;
}

/** Changes of the quarantine. */
export type QuarantineCommand =
  | {
      readonly kind: 'strike';
      readonly fingerprint: Digest;
      readonly upstream: UpstreamId;
      readonly at: Millis;
    }
  /** A request with this fingerprint was answered whole: it crashes nothing. */
  | { readonly kind: 'absolve'; readonly fingerprint: Digest; readonly at: Millis }
  | { readonly kind: 'lift-quarantine'; readonly fingerprint: Digest };

/** What became of a change of the quarantine. */
export type QuarantineOutcome = { readonly kind: 'done' } | { readonly kind: 'stale' };

/** The quarantine as a snapshot holds it. */
export interface QuarantineSnapshot {
  readonly strikes: readonly (readonly [Digest, readonly Strike[]])[];
  readonly crashes: readonly (readonly [UpstreamId, readonly Millis[]])[];
  readonly latest: Millis;
}

/** Counts the upstreams that each request crashed, leaving out bad upstreams and lost racks. */
export class QuarantineTable {
  private readonly table = new Map<Digest, readonly Strike[]>();
  /** Times of the crashes of each upstream, whatever it ran. */
  private readonly crashes = new Map<UpstreamId, readonly Millis[]>();
  private latest: Millis = 0;

  static create(): QuarantineTable {
    return new QuarantineTable();
  }

  /** Upstreams that count as crashed by this request at wall time `at`. */
  strikesOf(fingerprint: Digest, at: Millis = this.latest): readonly UpstreamId[] {
    const strikes = this.table.get(fingerprint) ?? [];
    const last = strikes.at(-1);
    if (!last || last.at + quarantineMs <= at) return [];
    return strikes.filter((s) => this.counts(s)).map((s) => s.upstream);
  }

  /** Whether requests with this fingerprint are refused at wall time `at`. */
  isQuarantined(fingerprint: Digest, at: Millis = this.latest): boolean {
    return this.strikesOf(fingerprint, at).length >= strikeLimit;
  }

  /** Every quarantined request. */
  list(at: Millis = this.latest): readonly Quarantined[] {
    const out: Quarantined[] = [];
    for (const [fingerprint, strikes] of this.table) {
      const since = strikes.at(-1)?.at ?? 0;
      if (!this.isQuarantined(fingerprint, at)) continue;
      const upstreams = this.strikesOf(fingerprint, at);
      out.push({ fingerprint, upstreams, since, until: since + quarantineMs });
    }
    return out;
  }

  apply(command: QuarantineCommand): QuarantineOutcome {
    switch (command.kind) {
      case 'strike':
        return this.strike(command.fingerprint, command.upstream, command.at);
      case 'absolve':
        this.advance(command.at);
        return this.drop(command.fingerprint);
      case 'lift-quarantine':
        return this.drop(command.fingerprint);
      default:
        return unreachable(command);
    }
  }

  snapshot(): QuarantineSnapshot {
    return { strikes: [...this.table], crashes: [...this.crashes], latest: this.latest };
  }

  restore(snapshot: QuarantineSnapshot): void {
    this.table.clear();
    this.crashes.clear();
    for (const [fingerprint, strikes] of snapshot.strikes) this.table.set(fingerprint, strikes);
    for (const [upstream, times] of snapshot.crashes) this.crashes.set(upstream, times);
    this.latest = snapshot.latest;
  }

  private strike(fingerprint: Digest, upstream: UpstreamId, at: Millis): QuarantineOutcome {
    this.advance(at);
    this.noteCrash(upstream, at);
    const known = this.table.get(fingerprint) ?? [];
    // An upstream that came back and crashed again is one more loss.
    const same = (s: Strike) => s.upstream === upstream && Math.abs(s.at - at) < oneCrashMs;
    if (known.some(same)) return { kind: 'stale' };
    this.table.set(fingerprint, [...known, { upstream, at }]);
    return { kind: 'done' };
  }

  private drop(fingerprint: Digest): QuarantineOutcome {
    return this.table.delete(fingerprint) ? { kind: 'done' } : { kind: 'stale' };
  }

  private noteCrash(upstream: UpstreamId, at: Millis): void {
    const times = this.crashes.get(upstream) ?? [];
    if (times.some((t) => Math.abs(t - at) < oneCrashMs)) return;
    this.crashes.set(upstream, [...times, at]);
  }

  private counts(strike: Strike): boolean {
    const own = this.crashes.get(strike.upstream) ?? [];
    return own.length < badUpstreamCrashes && !this.inBurst(strike.at);
  }

  private inBurst(at: Millis): boolean {
    let near = 0;
    for (const times of this.crashes.values()) {
      if (times.some((t) => Math.abs(t - at) <= burstMs)) near += 1;
    }
    return near >= burstUpstreams;
  }

  /** Moves the time of the table forward, and forgets what has expired by it. */
  private advance(at: Millis): void {
    this.latest = Math.max(this.latest, at);
    const expired = this.latest - quarantineMs;
    for (const [fingerprint, strikes] of this.table) {
      if ((strikes.at(-1)?.at ?? 0) <= expired) this.table.delete(fingerprint);
    }
    for (const [upstream, times] of this.crashes) {
      const kept = times.filter((t) => t > expired);
      if (kept.length === 0) this.crashes.delete(upstream);
      else if (kept.length < times.length) this.crashes.set(upstream, kept);
    }
  }
}

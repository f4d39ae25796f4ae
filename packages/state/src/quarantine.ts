/** Requests that crash the upstreams that run them. */

import { unreachable } from '@tanagercart/base';
import type { Digest, Millis, UpstreamId } from '@tanagercart/base';

/** Upstreams that one request may crash before it is quarantined. */
export const strikeLimit = 2;

/** A request that crashed upstreams. */
export interface Strikes {
  readonly upstreams: readonly UpstreamId[];
  /** Wall time of the last one. */
  readonly at: Millis;
}

/** Changes of the quarantine. */
export type QuarantineCommand =
  | {
      readonly kind: 'strike';
      readonly fingerprint: Digest;
      readonly upstream: UpstreamId;
      readonly at: Millis;
    }
  | { readonly kind: 'lift-quarantine'; readonly fingerprint: Digest };

/** What became of a change of the quarantine. */
export type QuarantineOutcome = { readonly kind: 'done' } | { readonly kind: 'stale' };

/** The quarantine as a snapshot holds it. */
export interface QuarantineImage {
  readonly strikes: readonly (readonly [Digest, Strikes])[];
}

/** Counts the upstreams that each request crashed. */
export class QuarantineTable {
  private readonly table = new Map<Digest, Strikes>();

  static create(): QuarantineTable {
    return new QuarantineTable();
  }

  /** Whether requests with this fingerprint are refused. */
  holds(fingerprint: Digest): boolean {
    return (this.table.get(fingerprint)?.upstreams.length ?? 0) >= strikeLimit;
  }

  /** Every quarantined fingerprint. */
  list(): readonly Digest[] {
    return [...this.table.keys()].filter((f) => this.holds(f));
  }

  apply(command: QuarantineCommand): QuarantineOutcome {
    switch (command.kind) {
      case 'strike':
        return this.strike(command.fingerprint, command.upstream, command.at);
      case 'lift-quarantine':
        return this.table.delete(command.fingerprint) ? { kind: 'done' } : { kind: 'stale' };
      default:
        return unreachable(command);
    }
  }

  image(): QuarantineImage {
    return { strikes: [...this.table] };
  }

  restore(image: QuarantineImage): void {
    this.table.clear();
    for (const [fingerprint, strikes] of image.strikes) {
      this.table.set(fingerprint, strikes);
    }
  }

  private strike(fingerprint: Digest, upstream: UpstreamId, at: Millis): QuarantineOutcome {
    const known = this.table.get(fingerprint)?.upstreams ?? [];
    if (known.includes(upstream)) {
      return { kind: 'stale' };
    }
    this.table.set(fingerprint, { upstreams: [...known, upstream], at });
    return { kind: 'done' };
  }
}

/** Which upstreams this entry reaches by its own links, as the connections that it opens show. */

import type { Clock, Millis } from '@tanagercart/base';

/** A broken link is tried again after this time. */
const recheckMs: Millis = 1000;

/** A link that was not tried for this long counts as whole again. */
const forgetMs: Millis = 20_000;

/** With so many broken links, and none that was found whole since, the entry counts as detached. */
const brokenToDetach = 2;

/**
 * How to connect to an upstream: by the own link, over another entry, or both ways at once to learn
 * whether the link is whole again.
 */
export type Way = 'direct' | 'detour' | 'both';

interface BrokenLink {
  readonly failedAt: Millis;
  triedAt: Millis;
}

/** Remembers broken links: those to upstreams that other entries reach. */
export class DirectLinks {
  /** By address of the upstream. */
  private readonly broken = new Map<string, BrokenLink>();
  private reachedAt: Millis = -Infinity;
  private triedAt: Millis = -Infinity;

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): DirectLinks {
    return new DirectLinks(clock);
  }

  /** Whether this entry has probably lost its links to all upstreams. */
  get isDetached(): boolean {
    const now = this.clock.now();
    const recent = [...this.broken.values()].filter(
      (link) => link.failedAt > this.reachedAt && now - link.triedAt < forgetMs,
    );
    return recent.length >= brokenToDetach;
  }

  /** Records that the own link led to an upstream. */
  recordReached(address: string): void {
    this.broken.delete(address);
    this.reachedAt = this.clock.now();
  }

  /** Records that the own link failed where another entry reached the upstream. */
  recordBroken(address: string): void {
    const now = this.clock.now();
    for (const [other, { triedAt }] of this.broken) {
      if (now - triedAt >= forgetMs) this.broken.delete(other);
    }
    this.broken.set(address, { failedAt: now, triedAt: now });
    this.triedAt = now;
  }

  /** Whether a connection over the own link to an address would probably fail. */
  isBroken(address: string): boolean {
    const link = this.broken.get(address);
    const isKnown = link !== undefined && this.clock.now() - link.triedAt < forgetMs;
    return isKnown || this.isDetached;
  }

  /** How the next connection to an address is to be opened; counts as a try where it is both ways. */
  nextWay(address: string): Way {
    if (!this.isBroken(address)) return 'direct';
    const now = this.clock.now();
    const link = this.broken.get(address);
    const triedAt = link?.triedAt ?? this.triedAt;
    if (now - triedAt < recheckMs) return 'detour';
    if (link) link.triedAt = now;
    this.triedAt = now;
    return 'both';
  }
}

/** Chooses the owners that an entry asks for a slot, and their order. */

import type { Clock, Digest, Millis, NodeId, Random, TierId } from '@tanagercart/base';

/** Time after which a reported room counts half, in milliseconds. */
const roomHalfLifeMs: Millis = 500;

/** Longest time that an owner is avoided after a refusal, in milliseconds. */
const avoidLimitMs: Millis = 1000;

/** Slots that a prompt prefix that is likely cached is worth. */
const prefixWorth = 2;

/** Slots that being in the same data centre is worth. */
const nearWorth = 1;

/** Age after which a cached prefix counts as evicted, in milliseconds. */
const prefixAgeLimitMs: Millis = 60_000;

/** Prefixes remembered at most. */
const prefixLimit = 50_000;

/** Room assumed for an owner that has not replied yet, in slots for each of its replicas. */
const unknownRoom = 4;

/** An owner of replicas of the wanted model. */
export interface OwnerCandidate {
  readonly node: NodeId;
  readonly sameDataCentre: boolean;
  /** Replicas of the model that it owns. */
  readonly replicas: number;
}

/** What an owner's reply told. */
export interface OwnerReply {
  readonly room: number | undefined;
  /** Time that a refusal asked to wait; undefined where it granted. */
  readonly retryAfterMs: Millis | undefined;
}

interface Scored extends OwnerCandidate {
  readonly score: number;
}

interface Known {
  room: number;
  at: Millis;
  avoidUntil: Millis;
}

interface CachedPrefix {
  readonly owner: NodeId;
  readonly at: Millis;
}

/** What an entry knows of the owners' load and caches. */
export class OwnerSelector {
  private readonly known = new Map<string, Known>();
  private readonly prefixes = new Map<Digest, CachedPrefix>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  static create(clock: Clock, random: Random): OwnerSelector {
    return new OwnerSelector(clock, random);
  }

  /** The owners in the order in which to ask them for work of a tier. */
  rank(
    options: readonly OwnerCandidate[],
    tier: TierId,
    prefix: readonly Digest[],
  ): readonly NodeId[] {
    const scored = options.map((o) => ({ ...o, score: this.score(o, tier, prefix) }));
    const open = scored.filter((o) => !this.avoids(o.node, tier));
    const avoided = scored.filter((o) => this.avoids(o.node, tier));
    const first = this.betterOfTwo(open);
    const rest = open.filter((o) => o !== first).sort(byScore);
    return [...(first ? [first] : []), ...rest, ...avoided.sort(byScore)].map((o) => o.node);
  }

  /** Notes that a request goes to `owner`, before its reply. */
  recordRequest(owner: NodeId, tier: TierId): void {
    const known = this.known.get(keyOf(owner, tier));
    if (known) known.room -= 1;
  }

  /** Learns from an owner's reply. */
  recordReply(owner: NodeId, tier: TierId, news: OwnerReply): void {
    const now = this.clock.now();
    const key = keyOf(owner, tier);
    const before = this.known.get(key);
    const avoidMs = Math.min(avoidLimitMs, news.retryAfterMs ?? 0);
    const room = news.room ?? before?.room ?? 0;
    this.known.set(key, { room, at: now, avoidUntil: now + avoidMs });
  }

  /** Notes that replicas of `owner` hold a prompt's prefix, as told or as just sent there. */
  recordPrefix(owner: NodeId, prefix: readonly Digest[]): void {
    const at = this.clock.now();
    for (const digest of prefix) {
      this.prefixes.delete(digest);
      this.prefixes.set(digest, { owner, at });
    }
    while (this.prefixes.size > prefixLimit) {
      const [oldest] = this.prefixes.keys();
      this.prefixes.delete(oldest!);
    }
  }

  /** Notes that a prefix was evicted. */
  recordEviction(owner: NodeId, digest: Digest): void {
    if (this.prefixes.get(digest)?.owner === owner) this.prefixes.delete(digest);
  }

  /** The better of two owners that are drawn by their number of replicas. */
  private betterOfTwo(options: readonly Scored[]): Scored | undefined {
    const a = this.draw(options);
    const b = this.draw(options.filter((o) => o !== a));
    return a && b && b.score > a.score ? b : a;
  }

  private draw(options: readonly Scored[]): Scored | undefined {
    let left = this.random.next() * options.reduce((n, o) => n + o.replicas, 0);
    return options.find((o) => {
      left -= o.replicas;
      return left < 0;
    });
  }

  private score(o: OwnerCandidate, tier: TierId, prefix: readonly Digest[]): number {
    const room = this.roomOf(o, tier);
    if (room <= 0) return room;
    return (
      room + (o.sameDataCentre ? nearWorth : 0) + prefixWorth * this.prefixShare(o.node, prefix)
    );
  }

  /** Last reported room, drawn towards the assumed one as it ages. */
  private roomOf(o: OwnerCandidate, tier: TierId): number {
    const assumed = unknownRoom * o.replicas;
    const known = this.known.get(keyOf(o.node, tier));
    if (!known) return assumed;
    const trust = 0.5 ** ((this.clock.now() - known.at) / roomHalfLifeMs);
    return known.room * trust + assumed * (1 - trust);
  }

  private prefixShare(owner: NodeId, prefix: readonly Digest[]): number {
    if (prefix.length === 0) return 0;
    const oldest = this.clock.now() - prefixAgeLimitMs;
    const held = prefix.filter((d) => {
      const cached = this.prefixes.get(d);
      return cached?.owner === owner && cached.at > oldest;
    });
    return held.length / prefix.length;
  }

  private avoids(owner: NodeId, tier: TierId): boolean {
    return (this.known.get(keyOf(owner, tier))?.avoidUntil ?? 0) > this.clock.now();
  }
}

function keyOf(owner: NodeId, tier: TierId): string {
  return `${owner}|${tier}`;
}

function byScore(a: Scored, b: Scored): number {
  return b.score - a.score;
}

/** Chooses the owners that an entry asks for a slot, and their order. */

import type { Clock, Digest, Millis, NodeId, Random, TierId } from '@tanagercart/base';

/** Time after which a reported room counts half, in milliseconds. */
const roomHalfLifeMs: Millis = 500;

/** Longest time that an owner is avoided after a refusal, in milliseconds. */
const maxAvoidMs: Millis = 1000;

/** Slots that a prompt prefix that is likely cached is worth. */
const prefixBonus = 2;

/** Slots that being in the same data centre is worth. */
const sameDataCentreBonus = 1;

/** Age after which a cached prefix counts as evicted, in milliseconds. */
const prefixTtlMs: Millis = 60_000;

/** Prefixes remembered at most. */
const maxPrefixes = 50_000;

/** Room assumed for an owner that has not replied yet, in slots for each of its replicas. */
const assumedRoomPerReplica = 4;

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

interface ScoredCandidate extends OwnerCandidate {
  readonly score: number;
}

interface OwnerState {
  room: number;
  reportedAt: Millis;
  avoidUntil: Millis;
}

interface CachedPrefix {
  readonly owner: NodeId;
  readonly recordedAt: Millis;
}

/** What an entry knows of the owners' load and caches. */
export class OwnerSelector {
  private readonly owners = new Map<string, OwnerState>();
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
    candidates: readonly OwnerCandidate[],
    tier: TierId,
    prefix: readonly Digest[],
  ): readonly NodeId[] {
    const scored = candidates.map((o) => ({ ...o, score: this.scoreOf(o, tier, prefix) }));
    const available = scored.filter((o) => !this.isAvoided(o.node, tier));
    const avoided = scored.filter((o) => this.isAvoided(o.node, tier));
    const first = this.betterOfTwo(available);
    const rest = available.filter((o) => o !== first).sort(byScore);
    return [...(first ? [first] : []), ...rest, ...avoided.sort(byScore)].map((o) => o.node);
  }

  /** Notes that a request goes to `owner`, before its reply. */
  recordRequest(owner: NodeId, tier: TierId): void {
    const state = this.owners.get(keyOf(owner, tier));
    if (state) state.room -= 1;
  }

  /** Learns from an owner's reply. */
  recordReply(owner: NodeId, tier: TierId, reply: OwnerReply): void {
    const now = this.clock.now();
    const key = keyOf(owner, tier);
    const previous = this.owners.get(key);
    const avoidMs = Math.min(maxAvoidMs, reply.retryAfterMs ?? 0);
    const room = reply.room ?? previous?.room ?? 0;
    this.owners.set(key, { room, reportedAt: now, avoidUntil: now + avoidMs });
  }

  /** Notes that replicas of `owner` hold a prompt's prefix, as told or as just sent there. */
  recordPrefix(owner: NodeId, prefix: readonly Digest[]): void {
    const now = this.clock.now();
    for (const digest of prefix) {
      this.prefixes.delete(digest);
      this.prefixes.set(digest, { owner, recordedAt: now });
    }
    while (this.prefixes.size > maxPrefixes) {
      const [oldest] = this.prefixes.keys();
      this.prefixes.delete(oldest!);
    }
  }

  /** Notes that a prefix was evicted. */
  recordEviction(owner: NodeId, digest: Digest): void {
    if (this.prefixes.get(digest)?.owner === owner) this.prefixes.delete(digest);
  }

  /** The better of two owners that are drawn by their number of replicas. */
  private betterOfTwo(candidates: readonly ScoredCandidate[]): ScoredCandidate | undefined {
    const a = this.sample(candidates);
    const b = this.sample(candidates.filter((o) => o !== a));
    return a && b && b.score > a.score ? b : a;
  }

  private sample(candidates: readonly ScoredCandidate[]): ScoredCandidate | undefined {
    let remaining = this.random.next() * candidates.reduce((n, o) => n + o.replicas, 0);
    return candidates.find((o) => {
      remaining -= o.replicas;
      return remaining < 0;
    });
  }

  private scoreOf(o: OwnerCandidate, tier: TierId, prefix: readonly Digest[]): number {
    const room = this.estimatedRoom(o, tier);
    if (room <= 0) return room;
    return (
      room +
      (o.sameDataCentre ? sameDataCentreBonus : 0) +
      prefixBonus * this.cachedShare(o.node, prefix)
    );
  }

  /** Last reported room, drawn towards the assumed one as it ages. */
  private estimatedRoom(o: OwnerCandidate, tier: TierId): number {
    const assumed = assumedRoomPerReplica * o.replicas;
    const state = this.owners.get(keyOf(o.node, tier));
    if (!state) return assumed;
    const trust = 0.5 ** ((this.clock.now() - state.reportedAt) / roomHalfLifeMs);
    return state.room * trust + assumed * (1 - trust);
  }

  private cachedShare(owner: NodeId, prefix: readonly Digest[]): number {
    if (prefix.length === 0) return 0;
    const oldest = this.clock.now() - prefixTtlMs;
    const held = prefix.filter((d) => {
      const cached = this.prefixes.get(d);
      return cached?.owner === owner && cached.recordedAt > oldest;
    });
    return held.length / prefix.length;
  }

  private isAvoided(owner: NodeId, tier: TierId): boolean {
    return (this.owners.get(keyOf(owner, tier))?.avoidUntil ?? 0) > this.clock.now();
  }
}

function keyOf(owner: NodeId, tier: TierId): string {
  return `${owner}|${tier}`;
}

function byScore(a: ScoredCandidate, b: ScoredCandidate): number {
  return b.score - a.score;
}

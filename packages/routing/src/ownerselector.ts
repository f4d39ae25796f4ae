/**
 * Chooses the order in which an entry asks the owners of a model's replicas for a slot. An entry
 * knows the load of owners only from their last replies. The first owner is therefore the better of
 * two that are drawn at random, so that entries don't all send their requests to the same one.
 */

import type { Clock, Digest, Millis, NodeId, Random, TierId } from '@tanagercart/base';

/** Age at which a reported number of free slots counts half, in milliseconds. */
const roomHalfLifeMs: Millis = 500;

/** Longest time that an owner is avoided after a refusal, in milliseconds. */
const maxAvoidMs: Millis = 1000;

/** Score added for an owner that likely has the whole prompt prefix cached, in free slots. */
const prefixBonus = 2;

/** Score added for an owner in the entry's data centre, in free slots. */
const sameDataCentreBonus = 1;

/** Age after which a cached prefix counts as evicted, in milliseconds. */
const prefixTtlMs: Millis = 60_000;

/** Most prefixes kept, which bounds the memory; the oldest are dropped. */
const maxPrefixes = 50_000;

/** Free slots assumed for each replica of an owner that has not replied lately. */
const assumedRoomPerReplica = 4;

/** An owner of replicas of the wanted model. */
export interface OwnerCandidate {
  readonly node: NodeId;
  /** Whether the owner is in the data centre of the entry. */
  readonly sameDataCentre: boolean;
  /** Replicas of the model that it owns. */
  readonly replicas: number;
}

/** The load that an owner reported with a reply. */
export interface OwnerReply {
  /** Free slots for the tier, less the requests that wait; undefined if not reported. */
  readonly room: number | undefined;
  /** Time to wait that a refusal asked for; undefined if the owner granted a slot. */
  readonly retryAfterMs: Millis | undefined;
}

interface ScoredCandidate extends OwnerCandidate {
  readonly score: number;
}

/** The last report of an owner for a tier. */
interface OwnerState {
  /** Reported free slots, less the requests sent since. */
  room: number;
  reportedAt: Millis;
  avoidUntil: Millis;
}

/** A prefix in the KV cache of an owner's replica. */
interface CachedPrefix {
  readonly owner: NodeId;
  /** Time at which it was recorded. */
  readonly at: Millis;
}

/** What an entry knows of the owners' load and caches. */
export class OwnerSelector {
  /** By owner and tier. */
  private readonly owners = new Map<string, OwnerState>();
  /** The owner that last had each prefix, in the order in which they were recorded. */
  private readonly prefixes = new Map<Digest, CachedPrefix>();

  private constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  static create(clock: Clock, random: Random): OwnerSelector {
    return new OwnerSelector(clock, random);
  }

  /**
   * The owners in the order in which to ask them for a slot of a tier; those that refused lately
   * come last. `prefix` lists the digests of the prompt's prefixes.
   */
  rank(
    options: readonly OwnerCandidate[],
    tier: TierId,
    prefix: readonly Digest[],
  ): readonly NodeId[] {
    const scored = options.map((o) => ({ ...o, score: this.score(o, tier, prefix) }));
    const open = scored.filter((o) => !this.isAvoided(o.node, tier));
    const avoided = scored.filter((o) => this.isAvoided(o.node, tier));
    const first = this.betterOfTwo(open);
    const rest = open.filter((o) => o !== first).sort(byScore);
    return [...(first ? [first] : []), ...rest, ...avoided.sort(byScore)].map((o) => o.node);
  }

  /** Records that a request was sent to `owner`, which takes one of the reported free slots. */
  recordRequest(owner: NodeId, tier: TierId): void {
    const state = this.owners.get(keyOf(owner, tier));
    if (state) state.room -= 1;
  }

  /** Records the load that an owner reported. */
  recordReply(owner: NodeId, tier: TierId, reply: OwnerReply): void {
    const now = this.clock.now();
    const key = keyOf(owner, tier);
    const previous = this.owners.get(key);
    const avoidMs = Math.min(maxAvoidMs, reply.retryAfterMs ?? 0);
    const room = reply.room ?? previous?.room ?? 0;
    this.owners.set(key, { room, reportedAt: now, avoidUntil: now + avoidMs });
  }

  /**
   * Records that a replica of `owner` has a prompt's prefix in its KV cache, because the owner said
   * so or because the prompt was just sent there.
   */
  recordPrefix(owner: NodeId, prefix: readonly Digest[]): void {
    const at = this.clock.now();
    for (const digest of prefix) {
      this.prefixes.delete(digest);
      this.prefixes.set(digest, { owner, at });
    }
    while (this.prefixes.size > maxPrefixes) {
      const [oldest] = this.prefixes.keys();
      this.prefixes.delete(oldest!);
    }
  }

  /** Records that `owner` has evicted a prefix. */
  recordEviction(owner: NodeId, digest: Digest): void {
    if (this.prefixes.get(digest)?.owner === owner) this.prefixes.delete(digest);
  }

  /** The owner with the higher score of two that are sampled. */
  private betterOfTwo(options: readonly ScoredCandidate[]): ScoredCandidate | undefined {
    const a = this.sample(options);
    const b = this.sample(options.filter((o) => o !== a));
    return a && b && b.score > a.score ? b : a;
  }

  /** Draws an owner at random, with a chance in proportion to its number of replicas. */
  private sample(options: readonly ScoredCandidate[]): ScoredCandidate | undefined {
    let left = this.random.next() * options.reduce((n, o) => n + o.replicas, 0);
    return options.find((o) => {
      left -= o.replicas;
      return left < 0;
    });
  }

  /** Score in free slots. An owner without free slots gets no bonus for its caches or location. */
  private score(o: OwnerCandidate, tier: TierId, prefix: readonly Digest[]): number {
    const room = this.estimatedRoom(o, tier);
    if (room <= 0) return room;
    return (
      room +
      (o.sameDataCentre ? sameDataCentreBonus : 0) +
      prefixBonus * this.cachedShare(o.node, prefix)
    );
  }

  /** Estimated free slots: as last reported, approaching the assumed number as the report ages. */
  private estimatedRoom(o: OwnerCandidate, tier: TierId): number {
    const assumed = assumedRoomPerReplica * o.replicas;
    const state = this.owners.get(keyOf(o.node, tier));
    if (!state) return assumed;
    const trust = 0.5 ** ((this.clock.now() - state.reportedAt) / roomHalfLifeMs);
    return state.room * trust + assumed * (1 - trust);
  }

  /** Share of the digests in `prefix` that the owner likely still has in its KV caches. */
  private cachedShare(owner: NodeId, prefix: readonly Digest[]): number {
    if (prefix.length === 0) return 0;
    const oldest = this.clock.now() - prefixTtlMs;
    const held = prefix.filter((d) => {
      const cached = this.prefixes.get(d);
      return cached?.owner === owner && cached.at > oldest;
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

/** What the leader keeps for one term and discards with it. */

import type { Clock, Logger, Millis, NodeId, ServiceId, UtilizationMeter } from '@tanagercart/base';
import type { Configuration } from '@tanagercart/config';
import type { Bulletin, CompactBulletin, UpstreamRecord, WatchCall } from '@tanagercart/protocol';
import { NamedLimits } from '@tanagercart/pacing';
import { BulletinCache, entriesRevisionOf, rowOf } from './bulletin.js';
import { Liveness } from './liveness.js';
import { CrashSuspicions } from './crashes.js';
import { Paces } from './paces.js';
import { Placer } from './placer.js';
import type { OrderClient } from './placer.js';
import { ReplyPacer } from './replypacer.js';
import { ReplyStatistics } from './replystatistics.js';
import { Rollout } from './rollout.js';
import { UpstreamRegistry } from './registry.js';
import { SlownessMonitor, pipelineStages } from './slowness.js';
import { TombstoneCollector } from './tombstone.js';
import { TurnQueue } from './turnqueue.js';
import type { Voter } from './voter.js';

/**
 * Time between two plans of the layers, for each upstream that is known. A plan takes longer the more
 * there are, and the leader has more to do beside.
 */
const planIntervalPerUpstreamMs: Millis = 2;

/** What a bulletin holds: as earlier versions know it, or with the list of entries, or without. */
type BulletinForm = 'full' | 'compact' | 'entries-known';

export interface LeaderTermOptions {
  readonly voter: Voter;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Interval between two announcements of an upstream. */
  readonly heartbeatMs: Millis;
  readonly orders: OrderClient;
  /** Known nodes with a disk, voters first. */
  readonly nodes: () => readonly NodeId[];
  readonly utilization: UtilizationMeter;
  /** Time for which a confirmation by the leader lets an entry answer requests. */
  readonly entryLeaseMs: Millis;
  /** Whether the configuration has the service; true while there is no configuration. */
  readonly isConfigured: (service: ServiceId) => boolean;
}

/** Tracks, places and removes upstreams during one term of the leader. */
export class LeaderTerm {
  readonly liveness: Liveness;
  readonly registry: UpstreamRegistry;
  readonly crashes: CrashSuspicions;
  readonly rollout: Rollout;
  readonly replies: ReplyStatistics;
  private readonly limits: NamedLimits;
  private readonly paces: Paces;
  /** The part of replies that is the same for all callers, in the forms that these know. */
  private readonly bulletins: Readonly<Record<BulletinForm, BulletinCache>>;
  private readonly placer: Placer;
  private readonly monitor: SlownessMonitor;
  private readonly collector: TombstoneCollector;
  private readonly pacer: ReplyPacer;
  private readonly turns: TurnQueue<NodeId>;
  /** Time at which layers were last planned. */
  private plannedAt: Millis = -Infinity;

  private constructor(
    private readonly o: LeaderTermOptions,
    readonly term: number,
  ) {
    const { voter, clock, orders } = o;
    const logger = o.logger.part('upstreams');
    this.rollout = Rollout.create({
      clock,
      logger: o.logger.part('rollout'),
      leaseMs: o.entryLeaseMs,
    });
    this.replies = ReplyStatistics.create(clock, o.logger.part('replies'));
    this.liveness = Liveness.create(clock, o.heartbeatMs);
    const { liveness } = this;
    const isPlacing = (id: UpstreamRecord['id']) => this.placer.isPlacing(id);
    this.registry = UpstreamRegistry.create({
      ...{ voter, clock, logger, isPlacing },
      ...{ isConfigured: o.isConfigured, heartbeatMs: o.heartbeatMs },
    });
    const { registry } = this;
    const placerOptions = {
      voter,
      liveness,
      registry,
      orders,
      clock,
      logger: o.logger.part('layers'),
    };
    this.placer = Placer.create(placerOptions, term);
    this.crashes = CrashSuspicions.create(clock, (s) => voter.state.isQuarantined(s));
    this.limits = NamedLimits.create(clock, logger);
    this.paces = Paces.create(logger);
    this.pacer = ReplyPacer.create(clock, o.utilization);
    this.turns = TurnQueue.create(clock);
    this.monitor = SlownessMonitor.create({ orders, clock, logger });
    const forget = async (upstreams: readonly UpstreamRecord['id'][]) =>
      (await voter.propose({ kind: 'forget', upstreams })).isOk();
    this.collector = TombstoneCollector.create({ clock, logger, forget });
    const cacheOf = (build: () => Bulletin | CompactBulletin) => {
      const revision = () => liveness.revision;
      const entryCount = () => liveness.entryCount;
      return BulletinCache.create({ clock, revision, entryCount, build });
    };
    this.bulletins = {
      full: cacheOf(() => this.buildBulletin()),
      compact: cacheOf(() => this.buildCompact(true)),
      'entries-known': cacheOf(() => this.buildCompact(false)),
    };
  }

  static create(options: LeaderTermOptions, term: number): LeaderTerm {
    return new LeaderTerm(options, term);
  }

  /** Records the call of an entry; returns whether other entries should be informed at once. */
  recordEntry(from: NodeId, call: WatchCall): boolean {
    const { liveness, limits, rollout, registry } = this;
    rollout.recordCall(from, call);
    for (const upstream of call.leaving ?? []) registry.recordLeaving(upstream, { from });
    // What a detached entry cannot reach may well be up.
    if (!call.entry?.isDetached) this.paces.record(from, call.paces ?? [], this.o.clock.now());
    const changes = (call.limits ?? []).filter((notice) => limits.record(notice, { from }));
    if (changes.length > 0) liveness.revision += 1;
    return liveness.recordEntry(from, call) || changes.length > 0;
  }

  /** Orders layers, polls the speed of upstreams and removes old records, where these are due. */
  reconcile(config: Configuration): void {
    const { upstreams } = this.o.voter.state;
    const now = this.o.clock.now();
    if (now - this.plannedAt >= upstreams.size * planIntervalPerUpstreamMs) {
      this.plannedAt = now;
      this.placer.reconcile(config);
    }
    if (!this.liveness.slow) this.monitor.poll(pipelineStages(config, upstreams.values()));
    this.collector.collect(upstreams);
    this.stepPaces(now);
  }

  /** Stops sending orders. */
  stop(): void {
    this.placer.stop();
  }

  /**
   * Waits until a watch call that arrived at `arrivedAt` may be answered. Resolves to false where the
   * caller has called again for the whole state meanwhile.
   */
  async paceReply(
    from: NodeId,
    call: WatchCall,
    arrivedAt: Millis,
    minDelayMs: Millis,
  ): Promise<boolean> {
    const { waitMs: holdMs } = call;
    if (this.o.voter.state.isWholeFor(call.since)) return this.turns.wait(from);
    await this.pacer.wait(this.liveness.entryCount, { arrivedAt, holdMs }, minDelayMs);
    return true;
  }

  /** The encoded bulletin for the caller of a watch call. */
  bulletinFor({ entriesRevision }: WatchCall): Uint8Array {
    if (entriesRevision === undefined) return this.bulletins.full.bytes;
    const isKnown = entriesRevision === this.entriesRevision;
    return this.bulletins[isKnown ? 'entries-known' : 'compact'].bytes;
  }

  /** Revision of the list of entries, which differs from those of other leaders. */
  private get entriesRevision(): string {
    return entriesRevisionOf(this.term, this.liveness.entryList.revision);
  }

  /** Opens, steps and ends the paces of upstreams. */
  private stepPaces(now: Millis): void {
    const { liveness, monitor, paces } = this;
    const { loads } = liveness;
    const hasChanged = paces.observe([...this.o.voter.state.upstreams.values()], now, {
      isLost: (upstream) => liveness.isLost(upstream),
      slow: liveness.slow ?? monitor.slow,
      sequencesAt: (id) => loads.get(id)?.sequences ?? 0,
    });
    if (hasChanged) liveness.revision += 1;
  }

  private buildCompact(withEntries: boolean): CompactBulletin {
    const { entries, loads, ...rest } = this.buildBulletin();
    return {
      ...rest,
      entriesRevision: this.entriesRevision,
      entries: withEntries ? entries : undefined,
      loadRows: loads.map(rowOf),
    };
  }

  private buildBulletin(): Bulletin {
    const { liveness, monitor, o } = this;
    const paces = this.paces.rows;
    return {
      entries: liveness.entries,
      voters: o.nodes(),
      loads: [...liveness.loads.values()],
      suspicions: liveness.excluded(o.voter.state.upstreams.values()),
      slow: liveness.slow ?? monitor.slow,
      suspectedParts: this.crashes.published,
      limits: this.limits.notices,
      demand: liveness.demand,
      ...(paces.length > 0 ? { paces } : {}),
      transfers: liveness.transfers,
    };
  }
}

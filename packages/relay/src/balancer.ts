/**
 * Load balancing: picks the best upstream of a plain service, or the best path over the pipeline
 * stages of a service with layers.
 */

import type { DataCentreId, Millis, Random, UpstreamId } from '@tanagercart/base';
import type { Engine, Service } from '@tanagercart/config';
import {
  activationBytes,
  crossingsOf,
  findPath,
  hasRoom,
  linkMs,
  mayCross,
  tokenLayerCapacityOf,
} from '@tanagercart/layers';
import type { Path, RequestSize, Stage } from '@tanagercart/layers';
import type { UpstreamLoad, UpstreamRecord } from '@tanagercart/protocol';
import type { FleetView } from '@tanagercart/fleet';
import type { Availability } from './availability.js';
import type { Call } from './call.js';
import { estimateLoad, loadFactor } from './estimate.js';
import type { Health } from './health.js';
import type { Loads } from './loads.js';
import type { PaceLimits } from './pacelimits.js';
import { estimateTransfers } from './transfers.js';

/** Where a request is sent, and the load that it adds there. */
export interface Target {
  /** The upstream that receives the request; the first stage of a path. */
  readonly upstream: UpstreamRecord;
  /** Undefined for a service without layers. */
  readonly path: Path | undefined;
  readonly requestLoads: readonly UpstreamLoad[];
  /** Its use of the link between data centres; undefined for a service without layers. */
  readonly link?: LinkUse;
}

/** What a request transfers between data centres, and the decision about it. */
export interface LinkUse {
  readonly bytes: number;
  /** Time that the link takes for what waits already. */
  readonly queueMs: Millis;
  /** Whether it may cross; else another path was found, or there is none with memory left. */
  readonly decision: 'open' | 'avoided' | 'only-path';
}

/**
 * Why no target was found: no usable upstream, no path over those that there are, none with a permit
 * soon enough, or none that does not want to be left alone for a while.
 */
export type NoTarget = 'no-upstream' | 'no-path' | 'limited' | 'backing-off';

/** The targets that a request may have. */
export interface Selection {
  /** Whether an upstream takes no part in serving it. */
  readonly isExcluded: (upstream: UpstreamRecord) => boolean;
  /** Whether an upstream takes part only where no other is left. */
  readonly isAvoided: (upstream: UpstreamRecord) => boolean;
  /** If set, only these may receive it; later stages of a path are not restricted. */
  readonly receivers: ReadonlySet<UpstreamId> | undefined;
  /** Upstreams that may not receive it, as no permit is free; they may be later stages. */
  readonly withoutPermit: ReadonlySet<UpstreamId> | 'all-limited';
  /** Longest wait for a permit. */
  readonly maxWaitMs: Millis;
  /** Time until the request's latency target. */
  readonly targetLeftMs: Millis;
}

export interface BalancerOptions {
  readonly view: FleetView;
  readonly health: Health;
  readonly loads: Loads;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  readonly availability: Pick<
    Availability,
    'acceptsRequests' | 'isLeaving' | 'backOffMsOf' | 'isLimited' | 'waitMsOf'
  >;
  /** Whether other entries lately reported that the upstream is unreachable. */
  readonly isSuspected: (upstream: UpstreamRecord) => boolean;
  /** Limits of paced upstreams; none is paced where it is missing. */
  readonly paces?: Pick<PaceLimits, 'size' | 'isFull' | 'limitOf'>;
}

/** Assumed mean response time of an upstream without samples, in milliseconds. */
const defaultResponseMs = 100;

/** Cost of a failure, as a multiple of the response time. */
const failureFactor = 8;

/** Cost factor of an upstream in another data centre. */
const remoteFactor = 1.15;

/** Picks targets by the load, health and location of upstreams as this entry knows them. */
export class Balancer {
  private constructor(private readonly o: BalancerOptions) {}

  static create(options: BalancerOptions): Balancer {
    return new Balancer(options);
  }

  /** The best target for a request. */
  pick(call: Call, selection: Selection): Target | NoTarget {
    const { engine } = call.service;
    const usable = this.ready(call).filter((u) => !selection.isExcluded(u));
    const target = engine
      ? this.pickPath(call, engine, usable, selection)
      : this.pickUpstream(usable, selection);
    if (typeof target !== 'string') return target;
    if (usable.some((u) => this.o.availability.backOffMsOf(u) > 0)) return 'backing-off';
    const limited = usable.some((u) => this.entryWaitMs(u, selection) === Infinity);
    return limited ? 'limited' : target;
  }

  /** Time until the first upstream accepts requests again for which these wait; 0 if they do not. */
  nextFreeMs(call: Call): Millis {
    const waits = this.ready(call).map((u) => this.o.availability.waitMsOf(u));
    const next = Math.min(...waits.filter((ms) => ms > 0));
    return Number.isFinite(next) ? next : 0;
  }

  /** Whether an upstream that was picked may still receive requests. */
  isReady(upstream: UpstreamRecord): boolean {
    const { view, availability } = this.o;
    const record = view.upstreams.get(upstream.id);
    if (record?.born !== upstream.born || record.phase !== 'ready') return false;
    return availability.acceptsRequests(upstream);
  }

  /** The current incarnation of an upstream; undefined where it is not known. */
  upstreamWith(id: UpstreamId): UpstreamRecord | undefined {
    return this.o.view.upstreams.get(id);
  }

  /** The upstream of a configured service at an address, unless it is gone. */
  upstreamAt(address: string): UpstreamRecord | undefined {
    const { table, upstreams } = this.o.view;
    return [...upstreams.values()].find(
      (u) => u.address === address && u.phase !== 'gone' && table?.serviceOf(u.service),
    );
  }

  /** Time that the link between data centres takes for the transfers of a service that wait. */
  linkQueueMs({ id, engine }: Service): Millis {
    if (!engine) return 0;
    const { loads, view } = this.o;
    const reported = view.transfersOf(id);
    const peers = this.entryCount() - 1;
    return linkMs(engine, estimateTransfers(loads.transfers.of(id), reported, peers));
  }

  /** Whether a request may join the queue of the link between data centres. */
  private mayCross(
    engine: Engine,
    work: RequestSize,
    { targetLeftMs }: Selection,
    queueMs: Millis,
  ): boolean {
    if (queueMs === 0) return true;
    return mayCross({
      queueMs,
      transferMs: linkMs(engine, activationBytes(engine, work)),
      targetLeftMs,
      entryCount: this.entryCount(),
      draw: this.o.random.next(),
    });
  }

  /** Number of entries that use the link, this one included. */
  private entryCount(): number {
    return Math.max(1, this.o.view.entries.filter((e) => e.phase === 'ready').length);
  }

  private pickUpstream(usable: readonly UpstreamRecord[], selection: Selection): Target | NoTarget {
    const { receivers } = selection;
    const waitMs = (u: UpstreamRecord) => this.entryWaitMs(u, selection);
    const ready = usable.filter((u) => (receivers?.has(u.id) ?? true) && waitMs(u) !== Infinity);
    const peers = this.peerCount();
    const best = this.preferBelowPace(this.preferHealthy(ready, selection))
      .map((upstream) => ({ upstream, cost: waitMs(upstream) + this.costOf(upstream, peers) }))
      .sort((a, b) => a.cost - b.cost)[0];
    if (!best) return 'no-upstream';
    const { upstream } = best;
    const load = { id: upstream.id, sequences: 1, entered: 1, tokenLayers: 0 };
    return { upstream, path: undefined, requestLoads: [load] };
  }

  private pickPath(
    call: Call,
    engine: Engine,
    usable: readonly UpstreamRecord[],
    selection: Selection,
  ): Target | NoTarget {
    const holders = usable.filter((u) => u.layers);
    const work = expectedWork(call, engine);
    const queueMs = this.linkQueueMs(call.service);
    const isOpen = this.mayCross(engine, work, selection, queueMs);
    const search = (upstreams: readonly UpstreamRecord[]) => {
      const stages = this.stagesOf(engine, upstreams, selection);
      const searchBehind = (linkQueueMs: Millis) =>
        this.searchPath(engine, stages, work, selection, linkQueueMs);
      const within = isOpen ? undefined : searchBehind(Infinity);
      return within && hasRoom(within, work) ? within : searchBehind(queueMs);
    };
    const path = search(this.preferHealthy(holders, selection)) ?? search(holders);
    const first = path?.[0];
    if (!path || !first) return holders.length === 0 ? 'no-upstream' : 'no-path';
    const requestLoads = path.map(({ stage, layers }, i) => ({
      id: stage.id,
      sequences: 1,
      entered: i === 0 ? 1 : 0,
      tokenLayers: (work.promptTokens + work.answerTokens) * (layers.to - layers.from),
    }));
    const bytes = activationBytes(engine, work) * crossingsOf(path);
    const closed = bytes > 0 ? 'only-path' : 'avoided';
    const link = { bytes, queueMs, decision: isOpen ? 'open' : closed } as const;
    return { upstream: this.o.view.upstreams.get(first.stage.id)!, path, requestLoads, link };
  }

  private searchPath(
    engine: Engine,
    stages: readonly Stage[],
    work: RequestSize,
    { receivers }: Selection,
    linkQueueMs: Millis,
  ) {
    const { random, dataCentre } = this.o;
    return findPath({
      engine,
      stages,
      size: work,
      dataCentre,
      linkQueueMs,
      random,
      ...(receivers ? { firstStageIds: receivers } : {}),
    });
  }

  private stagesOf(
    engine: Engine,
    upstreams: readonly UpstreamRecord[],
    selection: Selection,
  ): readonly Stage[] {
    const peers = this.peerCount();
    return upstreams.flatMap((u) => this.stageOf(engine, u, peers, this.entryWaitMs(u, selection)));
  }

  /** Wait until the upstream accepts the request; infinite where that would be too late. */
  private entryWaitMs(upstream: UpstreamRecord, { withoutPermit, maxWaitMs }: Selection): Millis {
    const { availability } = this.o;
    if (availability.backOffMsOf(upstream) > 0) return Infinity;
    if (!availability.isLimited(upstream)) return 0;
    if (withoutPermit === 'all-limited' || withoutPermit.has(upstream.id)) return Infinity;
    const waitMs = availability.waitMsOf(upstream);
    return waitMs > maxWaitMs ? Infinity : waitMs;
  }

  private ready(call: Call): readonly UpstreamRecord[] {
    const { view, availability } = this.o;
    return [...view.upstreams.values()].filter(
      (u) => u.service === call.service.id && u.phase === 'ready' && !availability.isLeaving(u),
    );
  }

  /**
   * The upstreams that are neither avoided nor suspected; else those that the request does not
   * avoid; all of them where none is left.
   */
  private preferHealthy(
    upstreams: readonly UpstreamRecord[],
    { isAvoided }: Selection,
  ): readonly UpstreamRecord[] {
    const { health, isSuspected } = this.o;
    const preferred = upstreams.filter((u) => !isAvoided(u));
    const healthy = preferred.filter((u) => !health.isAvoided(u) && !isSuspected(u));
    return [healthy, preferred].find((some) => some.length > 0) ?? upstreams;
  }

  /** The upstreams that are not at the limit of a pace, if one of them has a free slot; else all. */
  private preferBelowPace(upstreams: readonly UpstreamRecord[]): readonly UpstreamRecord[] {
    if (!this.o.paces?.size) return upstreams;
    const below = upstreams.filter((u) => !this.isAtPaceLimit(u));
    if (below.length === upstreams.length) return upstreams;
    // The estimate of what peers have changed since may only seem to take the last free slot.
    const isSlotFree = below.some((u) => this.loadAt(u.id, 0).sequences < u.slots);
    return isSlotFree ? below : upstreams;
  }

  private isAtPaceLimit(upstream: UpstreamRecord): boolean {
    const { paces, loads } = this.o;
    return paces?.isFull(upstream, loads.at(upstream.id)?.sequences ?? 0) ?? false;
  }

  private paceLoadOf(upstream: UpstreamRecord, { sequences }: UpstreamLoad): number {
    return sequences / (this.o.paces?.limitOf(upstream) ?? 1);
  }

  /** Expected response time in milliseconds, weighted by utilisation, failure rate and distance. */
  private costOf(upstream: UpstreamRecord, peers: number): number {
    const { health, random, dataCentre, paces } = this.o;
    const slots = Math.min(upstream.slots, paces?.limitOf(upstream) ?? Infinity);
    const load = loadFactor(this.loadAt(upstream.id, peers).sequences, slots);
    const ms = health.meanMsOf(upstream) ?? defaultResponseMs;
    const failurePenalty = 1 + failureFactor * health.failureRateOf(upstream);
    const distance = upstream.dataCentre === dataCentre ? 1 : remoteFactor;
    return ms * load * failurePenalty * distance * (1 + random.next() * 0.1);
  }

  /** The upstream as a stage; empty where it holds no layers or its accelerator is unknown. */
  private stageOf(
    engine: Engine,
    upstream: UpstreamRecord,
    peers: number,
    entryWaitMs: Millis,
  ): readonly Stage[] {
    const accelerator = engine.accelerators.find((a) => a.name === upstream.accelerator);
    const { layers } = upstream;
    if (!accelerator || !layers) return [];
    const load = this.loadAt(upstream.id, peers);
    const layerCount = layers.to - layers.from;
    return [
      {
        id: upstream.id,
        address: upstream.address,
        dataCentre: upstream.dataCentre,
        layers,
        stepFactor: accelerator.stepFactor,
        readFactor: accelerator.readFactor,
        sequences: load.sequences,
        entered: load.entered,
        entryWaitMs,
        tokenLayerCapacity: tokenLayerCapacityOf(engine, accelerator, layerCount),
        tokenLayersUsed: load.tokenLayers,
        slowness: this.o.view.slownessOf(upstream.id),
        ...(this.isAtPaceLimit(upstream) ? { paceLoad: this.paceLoadOf(upstream, load) } : {}),
      },
    ];
  }

  private loadAt(id: UpstreamId, peers: number): UpstreamLoad {
    const { loads, view } = this.o;
    return estimateLoad(id, loads.at(id), view.reportedLoadAt(id), view.peerLoadAt(id), peers);
  }

  /**
   * Number of other entries in this data centre. They have the same reports as this entry and so
   * pick the same upstreams.
   */
  private peerCount(): number {
    const { view, dataCentre } = this.o;
    const near = view.entries.filter((e) => e.dataCentre === dataCentre && e.phase === 'ready');
    return Math.max(0, near.length - 1);
  }
}

/** Tokens of a request: the caller's estimate, or the usual ones of the engine. */
export function expectedWork(call: Call, engine: Engine): RequestSize {
  return (
    call.work ?? { promptTokens: engine.meanPromptTokens, answerTokens: engine.meanAnswerTokens }
  );
}

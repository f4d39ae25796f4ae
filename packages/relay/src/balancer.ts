/**
 * Load balancing: picks the best upstream of a plain service, or the best path over the pipeline
 * stages of a service with layers.
 */

import type { DataCentreId, Random, UpstreamId } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import { findPath } from '@tanagercart/layers';
import type { Path, RequestSize, Stage } from '@tanagercart/layers';
import type { UpstreamLoad, UpstreamRecord } from '@tanagercart/protocol';
import type { FleetView } from '@tanagercart/fleet';
import type { Call } from './call.js';
import { estimateLoad } from './estimate.js';
import type { Health } from './health.js';
import type { Loads } from './loads.js';

/** Where a request is sent, and the load that it adds there. */
export interface Target {
  /** The upstream that receives the request; the first stage of a path. */
  readonly upstream: UpstreamRecord;
  /** Undefined for a service without layers. */
  readonly path: Path | undefined;
  readonly requestLoads: readonly UpstreamLoad[];
}

/** Why no target was found: no usable upstream, or no path over those that there are. */
export type NoTarget = 'no-upstream' | 'no-path';

export interface BalancerOptions {
  readonly view: FleetView;
  readonly health: Health;
  readonly loads: Loads;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  /** Whether other entries lately reported that the upstream is unreachable. */
  readonly isSuspected: (upstream: UpstreamRecord) => boolean;
}

const bytesPerMegabyte = 1e6;

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

  /**
   * The best target without the upstreams in `excluded`. Only those in `receivers`, if given, may
   * receive the request; later stages of a path are not restricted by it.
   */
  pick(
    call: Call,
    excluded: ReadonlySet<UpstreamId>,
    receivers?: ReadonlySet<UpstreamId>,
  ): Target | NoTarget {
    const { engine } = call.service;
    return engine
      ? this.pickPath(call, engine, excluded, receivers)
      : this.pickUpstream(call, excluded, receivers);
  }

  /** The upstream at an address, unless it is gone. */
  upstreamAt(address: string): UpstreamRecord | undefined {
    return [...this.o.view.upstreams.values()].find(
      (u) => u.address === address && u.phase !== 'gone',
    );
  }

  private pickUpstream(
    call: Call,
    excluded: ReadonlySet<UpstreamId>,
    receivers: ReadonlySet<UpstreamId> | undefined,
  ): Target | NoTarget {
    const ready = this.ready(call).filter(
      (u) => !excluded.has(u.id) && (receivers?.has(u.id) ?? true),
    );
    const peers = this.peerCount();
    const best = this.preferHealthy(ready)
      .map((upstream) => ({ upstream, cost: this.costOf(upstream, peers) }))
      .sort((a, b) => a.cost - b.cost)[0];
    if (!best) return 'no-upstream';
    const { upstream } = best;
    const load = { id: upstream.id, sequences: 1, entered: 1, tokenLayers: 0 };
    return { upstream, path: undefined, requestLoads: [load] };
  }

  private pickPath(
    call: Call,
    engine: Engine,
    excluded: ReadonlySet<UpstreamId>,
    receivers: ReadonlySet<UpstreamId> | undefined,
  ): Target | NoTarget {
    const usable = this.ready(call).filter((u) => u.layers && !excluded.has(u.id));
    const work = expectedWork(call, engine);
    const path =
      this.searchPath(engine, this.preferHealthy(usable), work, receivers) ??
      this.searchPath(engine, usable, work, receivers);
    const first = path?.[0];
    if (!path || !first) return usable.length === 0 ? 'no-upstream' : 'no-path';
    const requestLoads = path.map(({ stage, layers }, i) => ({
      id: stage.id,
      sequences: 1,
      entered: i === 0 ? 1 : 0,
      tokenLayers: (work.promptTokens + work.answerTokens) * (layers.to - layers.from),
    }));
    return { upstream: this.o.view.upstreams.get(first.stage.id)!, path, requestLoads };
  }

  private searchPath(
    engine: Engine,
    upstreams: readonly UpstreamRecord[],
    work: RequestSize,
    among: ReadonlySet<UpstreamId> | undefined,
  ) {
    const { random, dataCentre } = this.o;
    const peers = this.peerCount();
    const stages = upstreams.flatMap((u) => this.stageOf(engine, u, peers));
    return findPath({
      engine,
      stages,
      size: work,
      dataCentre,
      random,
      ...(among ? { firstStageIds: among } : {}),
    });
  }

  private ready(call: Call): readonly UpstreamRecord[] {
    return [...this.o.view.upstreams.values()].filter(
      (u) => u.service === call.service.id && u.phase === 'ready',
    );
  }

  /** The upstreams that are neither avoided nor suspected; all of them where none is left. */
  private preferHealthy(upstreams: readonly UpstreamRecord[]): readonly UpstreamRecord[] {
    const { health, isSuspected } = this.o;
    const healthy = upstreams.filter((u) => !health.isAvoided(u) && !isSuspected(u));
    return healthy.length > 0 ? healthy : upstreams;
  }

  /** Expected response time in milliseconds, weighted by utilisation, failure rate and distance. */
  private costOf(upstream: UpstreamRecord, peers: number): number {
    const { health, random, dataCentre } = this.o;
    const utilisation = this.loadAt(upstream.id, peers).sequences / Math.max(1, upstream.slots);
    const ms = health.meanMsOf(upstream) ?? defaultResponseMs;
    const failurePenalty = 1 + failureFactor * health.failureRateOf(upstream);
    const distance = upstream.dataCentre === dataCentre ? 1 : remoteFactor;
    return ms * (1 + utilisation * 2) * failurePenalty * distance * (1 + random.next() * 0.1);
  }

  /** The upstream as a stage; empty where it holds no layers or its accelerator is unknown. */
  private stageOf(engine: Engine, upstream: UpstreamRecord, peers: number): readonly Stage[] {
    const accelerator = engine.accelerators.find((a) => a.name === upstream.accelerator);
    const { layers } = upstream;
    if (!accelerator || !layers) return [];
    const load = this.loadAt(upstream.id, peers);
    const layerCount = layers.to - layers.from;
    const freeMb = accelerator.memoryMb - layerCount * engine.layerMb;
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
        tokenLayerCapacity:
          (freeMb * bytesPerMegabyte * engine.layerCount) / engine.kvBytesPerToken,
        tokenLayersUsed: load.tokenLayers,
        slowness: this.o.view.slownessOf(upstream.id),
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

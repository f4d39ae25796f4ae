/** Chooses where a request goes: the best upstream of a plain service, or a path over layers. */

import type { DataCentreId, Random, UpstreamId } from '@tanagercart/base';
import type { Engine } from '@tanagercart/config';
import { findPath } from '@tanagercart/layers';
import type { Path, RequestSize, Stage } from '@tanagercart/layers';
import type { UpstreamLoad, UpstreamRecord } from '@tanagercart/protocol';
import type { FleetView } from '@tanagercart/fleet';
import type { Call } from './call.js';
import { estimateLoad } from './expect.js';
import type { Health } from './health.js';
import type { Loads } from './loads.js';

/** Where a request goes, and what it adds to the load there. */
export interface Target {
  readonly upstream: UpstreamRecord;
  readonly path: Path | undefined;
  readonly requestLoads: readonly UpstreamLoad[];
}

/** Why a request goes nowhere. */
export type NoTarget = 'no-upstream' | 'no-path';

export interface BalancerOptions {
  readonly view: FleetView;
  readonly health: Health;
  readonly loads: Loads;
  readonly random: Random;
  readonly dataCentre: DataCentreId;
  /** Whether a suspicion that other entries told still counts. */
  readonly isSuspected: (upstream: UpstreamRecord) => boolean;
}

const bytesPerMegabyte = 1e6;

/** Mean time of an answer where none is known, in milliseconds. */
const unknownMs = 100;

/** Cost of a failure, as a multiple of the time of an answer. */
const failureFactor = 8;

/** An upstream in another data centre costs this much more. */
const farFactor = 1.15;

/** Chooses targets by what this entry knows now. */
export class Balancer {
  private constructor(private readonly o: BalancerOptions) {}

  static create(options: BalancerOptions): Balancer {
    return new Balancer(options);
  }

  /** The best target that is not among `excluded`; it receives the request among `among`, if given. */
  pick(
    call: Call,
    excluded: ReadonlySet<UpstreamId>,
    among?: ReadonlySet<UpstreamId>,
  ): Target | NoTarget {
    const { engine } = call.service;
    return engine
      ? this.choosePath(call, engine, excluded, among)
      : this.chooseUpstream(call, excluded, among);
  }

  /** The upstream at an address. */
  upstreamAt(address: string): UpstreamRecord | undefined {
    return [...this.o.view.upstreams.values()].find(
      (u) => u.address === address && u.phase !== 'gone',
    );
  }

  private chooseUpstream(
    call: Call,
    excluded: ReadonlySet<UpstreamId>,
    among: ReadonlySet<UpstreamId> | undefined,
  ): Target | NoTarget {
    const ready = this.ready(call).filter((u) => !excluded.has(u.id) && (among?.has(u.id) ?? true));
    const peers = this.peers();
    const best = this.preferred(ready)
      .map((upstream) => ({ upstream, cost: this.costOf(upstream, peers) }))
      .sort((a, b) => a.cost - b.cost)[0];
    if (!best) return 'no-upstream';
    const { upstream } = best;
    const share = { id: upstream.id, sequences: 1, entered: 1, tokenLayers: 0 };
    return { upstream, path: undefined, requestLoads: [share] };
  }

  private choosePath(
    call: Call,
    engine: Engine,
    excluded: ReadonlySet<UpstreamId>,
    among: ReadonlySet<UpstreamId> | undefined,
  ): Target | NoTarget {
    const usable = this.ready(call).filter((u) => u.layers && !excluded.has(u.id));
    const work = expectedWork(call, engine);
    const path =
      this.searchPath(engine, this.preferred(usable), work, among) ??
      this.searchPath(engine, usable, work, among);
    const first = path?.[0];
    if (!path || !first) return usable.length === 0 ? 'no-upstream' : 'no-path';
    const shares = path.map(({ stage, layers }, i) => ({
      id: stage.id,
      sequences: 1,
      entered: i === 0 ? 1 : 0,
      tokenLayers: (work.promptTokens + work.answerTokens) * (layers.to - layers.from),
    }));
    return { upstream: this.o.view.upstreams.get(first.stage.id)!, path, requestLoads: shares };
  }

  private searchPath(
    engine: Engine,
    upstreams: readonly UpstreamRecord[],
    work: RequestSize,
    among: ReadonlySet<UpstreamId> | undefined,
  ) {
    const { random, dataCentre } = this.o;
    const peers = this.peers();
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

  /** Those that did not fail lately, or all where each of them did. */
  private preferred(upstreams: readonly UpstreamRecord[]): readonly UpstreamRecord[] {
    const { health, isSuspected } = this.o;
    const good = upstreams.filter((u) => !health.isAvoided(u) && !isSuspected(u));
    return good.length > 0 ? good : upstreams;
  }

  private costOf(upstream: UpstreamRecord, peers: number): number {
    const { health, random, dataCentre } = this.o;
    const waiting = this.loadAt(upstream.id, peers).sequences / Math.max(1, upstream.slots);
    const ms = health.meanResponseMsOf(upstream) ?? unknownMs;
    const failing = 1 + failureFactor * health.failureRateOf(upstream);
    const far = upstream.dataCentre === dataCentre ? 1 : farFactor;
    return ms * (1 + waiting * 2) * failing * far * (1 + random.next() * 0.1);
  }

  private stageOf(engine: Engine, upstream: UpstreamRecord, peers: number): readonly Stage[] {
    const accelerator = engine.accelerators.find((a) => a.name === upstream.accelerator);
    const { layers } = upstream;
    if (!accelerator || !layers) return [];
    const load = this.loadAt(upstream.id, peers);
    const held = layers.to - layers.from;
    const freeMb = accelerator.memoryMb - held * engine.layerMb;
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
        tokenLayerCapacity: (freeMb * bytesPerMegabyte * engine.layerCount) / engine.tokenBytes,
        tokenLayersUsed: load.tokenLayers,
        slowness: this.o.view.slownessOf(upstream.id),
      },
    ];
  }

  private loadAt(id: UpstreamId, peers: number): UpstreamLoad {
    const { loads, view } = this.o;
    return estimateLoad(id, loads.at(id), view.reportedLoadAt(id), view.peerLoadAt(id), peers);
  }

  /** Other entries of this data centre: they see what this one sees, and choose as it does. */
  private peers(): number {
    const { view, dataCentre } = this.o;
    const near = view.entries.filter((e) => e.dataCentre === dataCentre && e.phase === 'ready');
    return Math.max(0, near.length - 1);
  }
}

/** What a request is expected to take. */
export function expectedWork(call: Call, engine: Engine): RequestSize {
  return call.work ?? { promptTokens: engine.usualPrompt, answerTokens: engine.usualAnswer };
}

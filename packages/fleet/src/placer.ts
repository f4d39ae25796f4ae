/** Orders upstreams to hold the planned layers, at the leader. */

import type { Clock, Logger, Millis, UpstreamId } from '@tanagercart/base';
import type { Configuration, Engine, Service } from '@tanagercart/config';
import { formatRange, intersect, planLayers } from '@tanagercart/layers';
import type { LayerHost, LayerRange } from '@tanagercart/layers';
import type { UpstreamLoad, UpstreamRecord } from '@tanagercart/protocol';
import type { Result } from 'neverthrow';
import type { Liveness } from './liveness.js';
import type { UpstreamRegistry } from './registry.js';
import { TurnQueue } from './turnqueue.js';
import type { Voter } from './voter.js';

/** The reply of an upstream to an order. */
export type OrderReply =
  /** The upstream has started to load the layers. */
  | { readonly kind: 'begun' }
  /** The upstream holds the layers. */
  | { readonly kind: 'done' }
  /** The order does not match the state of the upstream, or another order came first. */
  | { readonly kind: 'conflict' }
  /** The upstream has accepted an order of a later leader. */
  | { readonly kind: 'fenced' }
  | { readonly kind: 'refused'; readonly detail: string }
  /** No reply arrived: the upstream may have started the order, or may still start it. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** An order to hold a range of layers. */
export interface LayerOrder {
  readonly layers: LayerRange;
  /** Higher than that of each earlier order, also across leaders. */
  readonly fencingToken: number;
  /** Number of orders that the upstream must have started before this one. */
  readonly expectedOrders: number;
}

/** The report of an upstream on its own state. */
export interface UpstreamReport {
  readonly busy: boolean;
  /** Number of orders that the upstream has started. */
  readonly startedOrders: number;
  readonly layers: LayerRange | undefined;
  /** How many times slower the upstream is than is usual for its kind. */
  readonly slowness: number;
}

/** Sends orders to upstreams and requests their reports. */
export interface OrderClient {
  place(upstream: UpstreamRecord, order: LayerOrder): Promise<OrderReply>;
  report(upstream: UpstreamRecord): Promise<Result<UpstreamReport, string>>;
}

/**
 * If no upstream of a service holds layers, they are placed once the number of its upstreams has
 * not changed for this long.
 */
const quietMs: Millis = 900;

/** The first placement of a service waits at most this long after its first upstream appeared. */
const maxQuietWaitMs: Millis = 4000;

/** Pause after an order, in addition to the lag of reports, before the upstream is polled. */
const orderPauseMs: Millis = 100;

/** First interval at which an upstream that loads layers is polled, its growth, and its bound. */
const loadPollMs: Millis = 150;
const loadPollGrowth = 1.5;
const maxLoadPollMs: Millis = 1500;

/** Time after which a load has failed, in addition to three times its expected duration. */
const loadSlackMs: Millis = 4000;

/** Fencing tokens reserved for each term, so that those of a later term are higher. */
const fencingTokensPerTerm = 1_000_000;

export interface PlacerOptions {
  readonly voter: Voter;
  readonly liveness: Liveness;
  readonly registry: UpstreamRegistry;
  readonly orders: OrderClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** How many upstreams of a service have appeared, when the first did, and the last change. */
interface Arrivals {
  count: number;
  firstAt: Millis;
  lastAt: Millis;
}

/** Places layers during one term of the leader. */
export class Placer {
  /** Layers that upstreams are being ordered to hold. */
  private readonly placements = new Map<UpstreamId, LayerRange>();
  /** Number of orders that each incarnation has started. */
  private readonly started = new Map<string, number>();
  private readonly arrivals = new Map<string, Arrivals>();
  /**
   * The first placement orders all upstreams at once, and their loads are polled at the same time:
   * a few in turn, so that the leader answers others in between.
   */
  private readonly turns: TurnQueue<UpstreamId>;
  private issuedTokens = 0;
  private stopped = false;

  private constructor(
    private readonly o: PlacerOptions,
    private readonly term: number,
  ) {
    this.turns = TurnQueue.create(o.clock);
  }

  static create(options: PlacerOptions, term: number): Placer {
    return new Placer(options, term);
  }

  /** Whether an order to the upstream is in progress. */
  isPlacing(id: UpstreamId): boolean {
    return this.placements.has(id);
  }

  /** Stops sending orders. */
  stop(): void {
    this.stopped = true;
  }

  /** Starts the orders that the plan requires now. */
  reconcile(config: Configuration): void {
    for (const service of config.services) this.reconcileService(service);
  }

  private reconcileService(service: Service): void {
    const { engine } = service;
    if (!engine) return;
    const records = [...this.o.voter.state.upstreams.values()].filter(
      (r) => r.service === service.id && r.phase === 'ready' && !this.o.liveness.isLost(r),
    );
    if (records.length === 0 || !this.hasSettled(service, records)) return;
    const { loads } = this.o.liveness;
    const holders = records.flatMap((r) => this.holderOf(engine, r, loads.get(r.id)));
    const wanted = planLayers(engine, holders);
    for (const { id, layers } of wanted.slice(0, this.maxNewOrders(engine, records))) {
      const record = records.find((r) => r.id === id)!;
      this.placements.set(id, layers);
      void this.run(engine, record, layers);
    }
  }

  /**
   * Number of orders that may start now. The weight store serves `maxConcurrentLoads` loads at full
   * speed; more at a time would delay all of them, and the first ones are needed soon. If no
   * upstream holds layers, all orders are needed and start together.
   */
  private maxNewOrders(engine: Engine, records: readonly UpstreamRecord[]): number {
    if (!records.some((r) => r.layers)) return Infinity;
    return Math.max(0, engine.maxConcurrentLoads - this.placements.size);
  }

  /**
   * Whether layers may be placed now. If no upstream holds any, placing waits until all upstreams
   * have announced themselves.
   */
  private hasSettled(service: Service, records: readonly UpstreamRecord[]): boolean {
    const now = this.o.clock.now();
    const arrivals = this.arrivals.get(service.id) ?? { count: 0, firstAt: now, lastAt: now };
    this.arrivals.set(service.id, arrivals);
    if (arrivals.count !== records.length) {
      arrivals.count = records.length;
      arrivals.lastAt = now;
    }
    if (records.some((r) => r.layers) || this.placements.size > 0) return true;
    return now - arrivals.lastAt >= quietMs || now - arrivals.firstAt >= maxQuietWaitMs;
  }

  /** Describes an upstream to the planner; empty if its accelerator is not configured. */
  private holderOf(
    engine: Engine,
    record: UpstreamRecord,
    load: UpstreamLoad | undefined,
  ): readonly LayerHost[] {
    const accelerator = engine.accelerators.find((a) => a.name === record.accelerator);
    if (!accelerator) return [];
    const target = this.placements.get(record.id);
    const { id, dataCentre, layers } = record;
    const sequences = load?.sequences ?? 0;
    const busy = target !== undefined;
    return [{ id, dataCentre, accelerator, layers: target ?? layers, busy, sequences }];
  }

  /** Runs one placement. An unexpected error in it ends this placement only. */
  private async run(engine: Engine, record: UpstreamRecord, layers: LayerRange): Promise<void> {
    try {
      await this.place(engine, record, layers);
    } catch (e) {
      const detail = (e as Error).stack;
      this.o.logger.error('Unexpected error in a placement.', { upstream: record.id, detail });
    }
    this.placements.delete(record.id);
  }

  /**
   * Withdraws the layers that the upstream is to give up, sends the order, and records the new
   * layers once the upstream holds them.
   */
  private async place(engine: Engine, record: UpstreamRecord, layers: LayerRange): Promise<void> {
    const { logger, registry } = this.o;
    await this.turns.wait(record.id);
    if (this.stopped) return;
    const fields = { upstream: record.id, address: record.address, layers: formatRange(layers) };
    logger.info('Placing layers.', {
      ...fields,
      held: record.layers && formatRange(record.layers),
    });
    const keptLayers = record.layers && intersect(record.layers, layers);
    const withdrawn = !record.layers || (await this.commitLayers(record, keptLayers));
    const done = withdrawn && (await this.executeOrder(engine, record, layers));
    if (done) {
      await this.commitLayers(record, layers);
      registry.markPlaced(record, this.o.liveness);
    }
    logger.info(done ? 'Placed layers.' : 'Could not place layers.', fields);
  }

  /**
   * Repeats the order until the upstream holds the layers. Returns false if the upstream is gone,
   * refuses the order or takes too long.
   */
  private async executeOrder(
    engine: Engine,
    record: UpstreamRecord,
    layers: LayerRange,
  ): Promise<boolean> {
    const { clock, logger, orders } = this.o;
    const loadMs = (engine.loadSeconds * 1000 * (layers.to - layers.from)) / engine.layerCount;
    const deadline = clock.now() + loadSlackMs + loadMs * 3;
    while (clock.now() < deadline && this.isEligible(record)) {
      const expectedOrders = this.started.get(keyOf(record)) ?? 0;
      const reply = await orders.place(record, {
        layers,
        fencingToken: this.nextFencingToken(),
        expectedOrders,
      });
      if (reply.kind !== 'begun' && reply.kind !== 'done') {
        const detail = 'detail' in reply ? reply.detail : undefined;
        logger.warn('The upstream did not accept an order.', {
          upstream: record.id,
          outcome: reply.kind,
          detail,
        });
      }
      if (reply.kind === 'done') return true;
      if (reply.kind === 'fenced' || reply.kind === 'refused') return false;
      if (reply.kind === 'begun') this.started.set(keyOf(record), expectedOrders + 1);
      await clock.sleep(engine.reportLagMs + orderPauseMs);
      if (await this.awaitLoad(record, layers, deadline)) return true;
    }
    return false;
  }

  /** Polls the upstream until it is not busy; returns whether it holds the layers then. */
  private async awaitLoad(
    record: UpstreamRecord,
    layers: LayerRange,
    deadline: Millis,
  ): Promise<boolean> {
    const { clock, orders } = this.o;
    let pollMs = loadPollMs;
    while (clock.now() < deadline && this.isEligible(record)) {
      await clock.sleep(pollMs);
      pollMs = Math.min(maxLoadPollMs, pollMs * loadPollGrowth);
      await this.turns.wait(record.id);
      const report = await orders.report(record);
      if (report.isErr()) continue;
      this.started.set(keyOf(record), report.value.startedOrders);
      const held = report.value.layers;
      if (held?.from === layers.from && held.to === layers.to && !report.value.busy) return true;
      if (!report.value.busy) return false;
    }
    return false;
  }

  /** Commits the layers of an incarnation; returns false if that is no longer possible. */
  private async commitLayers(
    record: UpstreamRecord,
    layers: LayerRange | undefined,
  ): Promise<boolean> {
    const { voter } = this.o;
    const current = voter.state.upstreams.get(record.id);
    if (!current || current.born !== record.born || this.stopped) return false;
    const records = [{ ...current, layers, scope: 'layers' as const }];
    return (await voter.propose({ kind: 'upstreams', records })).isOk();
  }

  /** Whether orders to this incarnation may continue. */
  private isEligible(record: UpstreamRecord): boolean {
    const current = this.o.voter.state.upstreams.get(record.id);
    if (this.stopped || current?.born !== record.born || current.phase !== 'ready') return false;
    return !this.o.liveness.isLost(record);
  }

  private nextFencingToken(): number {
    this.issuedTokens += 1;
    return this.term * fencingTokensPerTerm + this.issuedTokens;
  }
}

/** Identifies the incarnation that a record describes. */
function keyOf(record: UpstreamRecord): string {
  return `${record.id} ${record.born}`;
}

/** Orders upstreams to hold the planned layers, at the leader. */

import type { Clock, Logger, Millis, UpstreamId } from '@tanagercart/base';
import type { Configuration, Engine, Service } from '@tanagercart/config';
import { formatRange, planLayers } from '@tanagercart/layers';
import type { LayerHost, LayerRange } from '@tanagercart/layers';
import type { UpstreamLoad, UpstreamRecord } from '@tanagercart/protocol';
import type { Result } from 'neverthrow';
import type { Intake } from './intake.js';
import type { Roster } from './roster.js';
import type { Voter } from './voter.js';

/** What an upstream answers to an order. */
export type OrderReply =
  | { readonly kind: 'begun' }
  | { readonly kind: 'done' }
  /** The order does not fit the state of the upstream, or another came before it. */
  | { readonly kind: 'conflict' }
  /** A later leader has given orders. */
  | { readonly kind: 'fenced' }
  | { readonly kind: 'refused'; readonly detail: string }
  /** No answer: it may have begun, or may begin later. */
  | { readonly kind: 'unknown'; readonly detail: string };

/** An order to hold layers. */
export interface LayerOrder {
  readonly layers: LayerRange;
  readonly fencingToken: number;
  /** Orders that the upstream must have begun before. */
  readonly expectedOrders: number;
}

/** What an upstream reports of itself. */
export interface UpstreamReport {
  readonly busy: boolean;
  /** Orders that it has begun. */
  readonly startedOrders: number;
  readonly layers: LayerRange | undefined;
  /** How many times slower than its kind it is. */
  readonly slowness: number;
}

/** Reaches upstreams with orders. */
export interface OrderClient {
  place(upstream: UpstreamRecord, order: LayerOrder): Promise<OrderReply>;
  report(upstream: UpstreamRecord): Promise<Result<UpstreamReport, string>>;
}

/** Announcements must have kept still for this long before a service is placed from nothing. */
const stillMs: Millis = 900;

/** A service is placed at the latest this long after its first upstream was announced. */
const latestMs: Millis = 4000;

/** Pause after an order, beyond the lag of reports, before the upstream is looked at. */
const retryMs: Millis = 100;

/** How often a load is looked at. */
const pollMs: Millis = 150;

/** Looks at a load before it counts as failed, beyond the time that it should take. */
const patienceMs: Millis = 4000;

/** Fencing tokens of one term. */
const tokensPerTerm = 1_000_000;

export interface PlacerOptions {
  readonly voter: Voter;
  readonly roster: Roster;
  readonly intake: Intake;
  readonly orders: OrderClient;
  readonly clock: Clock;
  readonly logger: Logger;
}

interface Arrivals {
  count: number;
  firstAt: Millis;
  lastAt: Millis;
}

/** Places layers for one term. */
export class Placer {
  private readonly placing = new Map<UpstreamId, LayerRange>();
  private readonly begun = new Map<string, number>();
  private readonly arrivals = new Map<string, Arrivals>();
  private tokens = 0;
  private ended = false;

  private constructor(
    private readonly o: PlacerOptions,
    private readonly term: number,
  ) {}

  static create(options: PlacerOptions, term: number): Placer {
    return new Placer(options, term);
  }

  /** Whether an order to the upstream is in progress. */
  isOrdered(id: UpstreamId): boolean {
    return this.placing.has(id);
  }

  /** Starts no further orders. */
  end(): void {
    this.ended = true;
  }

  /** Starts the orders that are wanted now. */
  step(config: Configuration): void {
    for (const service of config.services) this.stepService(service);
  }

  private stepService(service: Service): void {
    const { engine } = service;
    if (!engine) return;
    const records = [...this.o.voter.state.upstreams.values()].filter(
      (r) => r.service === service.id && r.phase === 'ready' && !this.o.roster.isLost(r),
    );
    if (records.length === 0 || !this.isStill(service, records)) return;
    const { loads } = this.o.roster;
    const holders = records.flatMap((r) => this.holderOf(engine, r, loads.get(r.id)));
    const wanted = planLayers(engine, holders);
    for (const { id, layers } of wanted.slice(0, this.room(engine, records))) {
      const record = records.find((r) => r.id === id)!;
      this.placing.set(id, layers);
      void this.place(engine, record, layers);
    }
  }

  /**
   * Orders that may begin. Beyond the loads that the weight store serves at once each takes longer:
   * the first ones are wanted soon. At a start from nothing all are wanted.
   */
  private room(engine: Engine, records: readonly UpstreamRecord[]): number {
    if (!records.some((r) => r.layers)) return Infinity;
    return Math.max(0, engine.loadsAtOnce - this.placing.size);
  }

  /** Whether to place now: at a start from nothing, all upstreams should have announced themselves. */
  private isStill(service: Service, records: readonly UpstreamRecord[]): boolean {
    const now = this.o.clock.now();
    const known = this.arrivals.get(service.id) ?? { count: 0, firstAt: now, lastAt: now };
    this.arrivals.set(service.id, known);
    if (known.count !== records.length) {
      known.count = records.length;
      known.lastAt = now;
    }
    if (records.some((r) => r.layers) || this.placing.size > 0) return true;
    return now - known.lastAt >= stillMs || now - known.firstAt >= latestMs;
  }

  private holderOf(
    engine: Engine,
    record: UpstreamRecord,
    load: UpstreamLoad | undefined,
  ): readonly LayerHost[] {
    const accelerator = engine.accelerators.find((a) => a.name === record.accelerator);
    if (!accelerator) return [];
    const target = this.placing.get(record.id);
    const { id, dataCentre, layers } = record;
    const sequences = load?.sequences ?? 0;
    const busy = target !== undefined;
    return [{ id, dataCentre, accelerator, layers: target ?? layers, busy, sequences }];
  }

  private async place(engine: Engine, record: UpstreamRecord, layers: LayerRange): Promise<void> {
    const { logger, intake } = this.o;
    const fields = { upstream: record.id, address: record.address, layers: formatRange(layers) };
    logger.info('Placing layers.', {
      ...fields,
      held: record.layers && formatRange(record.layers),
    });
    const kept = record.layers && overlap(record.layers, layers);
    const given = !record.layers || (await this.record(record, kept));
    const done = given && (await this.carryOut(engine, record, layers));
    if (done) {
      intake.settled(record.id);
      await this.record(record, layers);
    }
    logger.info(done ? 'Placed layers.' : 'Could not place layers.', fields);
    this.placing.delete(record.id);
  }

  /** Orders until the layers are held; false where the upstream is gone or refuses. */
  private async carryOut(
    engine: Engine,
    record: UpstreamRecord,
    layers: LayerRange,
  ): Promise<boolean> {
    const { clock, logger, orders } = this.o;
    const loadMs = (engine.loadSeconds * 1000 * (layers.to - layers.from)) / engine.layerCount;
    const deadline = clock.now() + patienceMs + loadMs * 3;
    while (clock.now() < deadline && this.isWanted(record)) {
      const expectedOrders = this.begun.get(keyOf(record)) ?? 0;
      const reply = await orders.place(record, {
        layers,
        fencingToken: this.nextToken(),
        expectedOrders,
      });
      if (reply.kind !== 'begun' && reply.kind !== 'done') {
        const detail = 'detail' in reply ? reply.detail : undefined;
        logger.warn('An order was not taken.', {
          upstream: record.id,
          outcome: reply.kind,
          detail,
        });
      }
      if (reply.kind === 'done') return true;
      if (reply.kind === 'fenced' || reply.kind === 'refused') return false;
      if (reply.kind === 'begun') this.begun.set(keyOf(record), expectedOrders + 1);
      await clock.sleep(engine.reportLagMs + retryMs);
      if (await this.awaitLoad(record, layers, deadline)) return true;
    }
    return false;
  }

  /** Looks at the upstream until it is not busy; whether it holds the layers then. */
  private async awaitLoad(
    record: UpstreamRecord,
    layers: LayerRange,
    deadline: Millis,
  ): Promise<boolean> {
    const { clock, orders } = this.o;
    while (clock.now() < deadline && this.isWanted(record)) {
      await clock.sleep(pollMs);
      const report = await orders.report(record);
      if (report.isErr()) continue;
      this.begun.set(keyOf(record), report.value.startedOrders);
      const held = report.value.layers;
      if (held?.from === layers.from && held.to === layers.to && !report.value.busy) return true;
      if (!report.value.busy) return false;
    }
    return false;
  }

  private async record(record: UpstreamRecord, layers: LayerRange | undefined): Promise<boolean> {
    const { voter } = this.o;
    const now = voter.state.upstreams.get(record.id);
    if (!now || now.born !== record.born || this.ended) return false;
    const records = [{ ...now, layers }];
    return (await voter.propose({ kind: 'upstreams', records })).isOk();
  }

  private isWanted(record: UpstreamRecord): boolean {
    const now = this.o.voter.state.upstreams.get(record.id);
    if (this.ended || now?.born !== record.born || now.phase !== 'ready') return false;
    return !this.o.roster.isLost(record);
  }

  private nextToken(): number {
    this.tokens += 1;
    return this.term * tokensPerTerm + this.tokens;
  }
}

function keyOf(record: UpstreamRecord): string {
  return `${record.id} ${record.born}`;
}

function overlap(a: LayerRange, b: LayerRange): LayerRange | undefined {
  const from = Math.max(a.from, b.from);
  const to = Math.min(a.to, b.to);
  return from < to ? { from, to } : undefined;
}

/** One node's time as the holder of the placement lease. */

import type { Millis } from '@tanagercart/base';
import type { IssuedOrder, UpstreamOrder } from '@tanagercart/state';
import { orderIdOf } from '@tanagercart/state';
import type { Holding } from '@tanagercart/upstream';
import { needsOf } from './need.js';
import type { Need } from './need.js';
import type { PlacementOptions } from './options.js';
import { holds } from './part.js';
import { noSurvey, surveyWork } from './survey.js';
import type { Survey } from './survey.js';
import { Withdrawals } from './withdrawn.js';

/** Pause between two looks at what upstreams hold, in milliseconds. */
export const lookMs: Millis = 200;

/** Longest time for sending an order, in milliseconds. */
export const orderTimeoutMs: Millis = 1500;

/** How long an upstream may take to tell what it holds, in milliseconds. */
const readTimeoutMs: Millis = 1000;

/** Pause before an order that failed is given again, in milliseconds. */
const againMs: Millis = 5000;

/** Pause between two surveys of the entries, in milliseconds. */
const surveyEveryMs: Millis = 500;

/** Longest time for one change of the shared state, in milliseconds. */
const proposeTimeoutMs: Millis = 1000;

/** What upstreams lacked under one state and one survey. */
interface Known {
  readonly index: number;
  readonly survey: Survey;
  readonly needs: readonly Need[];
}

/** Compares, orders and settles until the lease is lost. */
export class Tenure {
  private readonly takenAt: Millis;
  private readonly withdrawals: Withdrawals;
  /** Orders that are not to be given before a time. */
  private readonly restUntil = new Map<string, Millis>();
  private survey = noSurvey;
  private known: Known | undefined;

  private constructor(
    private readonly o: PlacementOptions,
    private readonly epoch: number,
  ) {
    this.takenAt = o.clock.now();
    this.withdrawals = Withdrawals.create(o.clock, o.longestLeaseMs);
  }

  /** Takes the lease; undefined where that could not be recorded. */
  static async take(o: PlacementOptions): Promise<Tenure | undefined> {
    const taken = await o.proposals.propose(
      { kind: 'take-placement', node: o.self },
      proposeTimeoutMs,
    );
    if (taken.isErr() || taken.value.outcome.kind !== 'placement-taken') return undefined;
    return new Tenure(o, taken.value.outcome.epoch);
  }

  /** Whether this node may order upstreams now. */
  get holds(): boolean {
    return this.o.leads() && this.o.state.placement.holder?.epoch === this.epoch;
  }

  /** Keeps upstreams at what the release offers, until the lease is lost. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.holds) {
      await this.round();
      await this.o.clock.sleep(lookMs, signal);
    }
  }

  private async round(): Promise<void> {
    const { state, clock } = this.o;
    await Promise.all(state.placement.issued.map((i) => this.settle(i)));
    const withdrawn = this.withdrawals.look(state);
    const lacking = this.lacking();
    const due = clock.now() >= this.survey.askedAt + surveyEveryMs;
    if (due && withdrawn.length + lacking.length > 0) {
      this.survey = await surveyWork(state, this.o.transport, clock);
    }
    if (!this.holds) return;
    const unused = withdrawn.filter((n) => this.withdrawals.isUnused(n, this.survey));
    const loads = this.lacking();
    await Promise.all(this.choose(unused, loads).map((order) => this.give(order)));
  }

  /** What upstreams lack; worked out anew only when the state or the survey has changed. */
  private lacking(): readonly Need[] {
    const { state } = this.o;
    const { survey } = this;
    if (this.known?.index !== state.index || this.known.survey !== survey) {
      this.known = { index: state.index, survey, needs: needsOf(state, survey.unserved) };
    }
    return this.known.needs;
  }

  /** The orders to give now: one at a time for each upstream, and loads as the store has room. */
  private choose(unused: readonly Need[], lacking: readonly Need[]): readonly UpstreamOrder[] {
    const { placement } = this.o.state;
    const taken = new Set(placement.issued.map((i) => i.order.upstream));
    let room = this.o.loadLimit - placement.loads;
    const chosen: UpstreamOrder[] = [];
    const orders = [
      ...unused.map((n) => orderOf(n, 'unload')),
      ...lacking.map((n) => orderOf(n, 'load')),
    ];
    for (const order of orders) {
      if (order.action === 'load' && room <= 0) break;
      if (taken.has(order.upstream) || !this.mayGive(order)) continue;
      taken.add(order.upstream);
      if (order.action === 'load') room -= 1;
      chosen.push(order);
    }
    return chosen;
  }

  private mayGive(order: UpstreamOrder): boolean {
    const rested = this.o.clock.now() >= (this.restUntil.get(orderIdOf(order)) ?? -Infinity);
    return rested && (this.o.checksFencing(order.upstream) || this.oldOrdersEnded);
  }

  /** Whether every order of the holders before has arrived or never will. */
  private get oldOrdersEnded(): boolean {
    const { clock, longestLeaseMs } = this.o;
    return clock.now() >= this.takenAt + longestLeaseMs + orderTimeoutMs;
  }

  /** Reads back what the upstream holds, records the order, and sends it once. */
  private async give(order: UpstreamOrder): Promise<void> {
    const { state, placements, proposals, loadLimit } = this.o;
    const url = state.upstreams.get(order.upstream)?.url;
    const holding = url === undefined ? undefined : await this.read(url);
    if (url === undefined || !holding || holding.busy || isDone(order, holding)) return;
    const { epoch } = this;
    const issued = await proposals.propose(
      { kind: 'issue-upstream-order', epoch, order, loadLimit },
      proposeTimeoutMs,
    );
    if (issued.isErr() || issued.value.outcome.kind !== 'done' || !this.holds) return;
    const { action, model, part } = order;
    const call = { fence: epoch, action, model, part };
    const reply = await placements.sendOrder(url, call, orderTimeoutMs);
    this.o.metrics.count('placement.order', { action, outcome: reply.kind });
    const { upstream } = order;
    this.o.logger.info('Ordered.', { upstream, action, part: part.name, outcome: reply.kind });
    if (reply.kind === 'refused') await this.close(order, false);
  }

  /** Settles an issued order once the upstream tells that it has ended. */
  private async settle({ order, epoch }: IssuedOrder): Promise<void> {
    const url = this.o.state.upstreams.get(order.upstream)?.url;
    const holding = url === undefined ? undefined : await this.read(url);
    if (!holding || holding.busy) return;
    const done = isDone(order, holding);
    // An order of an earlier holder may still be on its way.
    if (done || epoch === this.epoch || this.oldOrdersEnded) await this.close(order, done);
  }

  private async close(order: UpstreamOrder, done: boolean): Promise<void> {
    const { clock, metrics, proposals } = this.o;
    const id = orderIdOf(order);
    if (done) this.restUntil.delete(id);
    else this.restUntil.set(id, clock.now() + againMs);
    metrics.count('placement.settled', { action: order.action, outcome: done ? 'done' : 'failed' });
    await proposals.propose(
      { kind: 'settle-upstream-order', epoch: this.epoch, order },
      proposeTimeoutMs,
    );
  }

  private read(url: string): Promise<Holding | undefined> {
    return this.o.placements.fetchHolding(url, readTimeoutMs);
  }
}

function orderOf({ upstream, stage, part }: Need, action: 'load' | 'unload'): UpstreamOrder {
  const { id, incarnation } = upstream;
  return { upstream: id, incarnation, model: stage.model, action, part };
}

function isDone({ action, part }: UpstreamOrder, holding: Holding): boolean {
  return holds(holding, part) === (action === 'load');
}

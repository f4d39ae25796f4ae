/**
 * The period in which one node holds the placement lease and sends load and unload orders to
 * upstreams. The log index at which the node acquired the lease is the fencing token of its orders.
 * Orders are recorded in the shared state before they are sent, so that a new holder knows which of
 * its predecessor's orders may still be running, and never exceeds the limit of concurrent loads.
 */

import type { Millis } from '@tanagercart/base';
import type { IssuedOrder, UpstreamOrder } from '@tanagercart/state';
import { orderIdOf } from '@tanagercart/state';
import type { Holding } from '@tanagercart/upstream';
import { missingParts } from './missingparts.js';
import type { StagePart } from './missingparts.js';
import type { PlacementOptions } from './options.js';
import { includesPart } from './part.js';
import { emptySurvey, surveyWork } from './survey.js';
import type { Survey } from './survey.js';
import { WithdrawnParts } from './withdrawnparts.js';

/** Interval between two rounds of comparing upstreams with the release, in milliseconds. */
export const pollIntervalMs: Millis = 200;

/** Timeout of sending an order, in milliseconds. Later the order has arrived or never will. */
export const orderTimeoutMs: Millis = 1500;

/** Timeout of reading what an upstream holds, in milliseconds. */
const readTimeoutMs: Millis = 1000;

/** Delay before an order that failed is sent again, in milliseconds. */
const retryDelayMs: Millis = 5000;

/** Shortest interval between two surveys of the entries, in milliseconds. */
const surveyIntervalMs: Millis = 500;

/** Timeout of a proposal to the log, in milliseconds. */
const proposeTimeoutMs: Millis = 1000;

/** The parts that were missing at one index of the state and with one survey. */
interface CachedParts {
  readonly index: number;
  readonly survey: Survey;
  readonly parts: readonly StagePart[];
}

/** Reconciles upstreams with the release while the lease is held. */
export class PlacementLease {
  private readonly acquiredAt: Millis;
  private readonly withdrawnParts: WithdrawnParts;
  /** Earliest time at which a failed order may be sent again, by order id. */
  private readonly retryAt = new Map<string, Millis>();
  private survey = emptySurvey;
  private cachedParts: CachedParts | undefined;

  private constructor(
    private readonly o: PlacementOptions,
    /** The fencing token. */
    private readonly epoch: number,
  ) {
    this.acquiredAt = o.clock.now();
    this.withdrawnParts = WithdrawnParts.create(o.clock, o.longestLeaseMs);
  }

  /** Acquires the lease. Returns undefined if the log did not accept the command. */
  static async acquire(o: PlacementOptions): Promise<PlacementLease | undefined> {
    const taken = await o.proposals.propose(
      { kind: 'take-placement', node: o.self },
      proposeTimeoutMs,
    );
    if (taken.isErr() || taken.value.outcome.kind !== 'placement-taken') return undefined;
    return new PlacementLease(o, taken.value.outcome.epoch);
  }

  /** Whether this node may order upstreams now. */
  get isHeld(): boolean {
    return this.o.isLeader() && this.o.state.placement.holder?.epoch === this.epoch;
  }

  /** Keeps upstreams at what the release offers, until the lease is lost. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.isHeld) {
      await this.reconcile();
      await this.o.clock.sleep(pollIntervalMs, signal);
    }
  }

  /** Settles orders that have ended, then sends the next ones. */
  private async reconcile(): Promise<void> {
    const { state, clock } = this.o;
    await Promise.all(state.placement.issued.map((i) => this.checkOrder(i)));
    const withdrawn = this.withdrawnParts.observe(state);
    const missing = this.findMissing();
    const due = clock.now() >= this.survey.askedAt + surveyIntervalMs;
    if (due && withdrawn.length + missing.length > 0) {
      this.survey = await surveyWork(state, this.o.transport, clock);
    }
    if (!this.isHeld) return;
    const unused = withdrawn.filter((n) => this.withdrawnParts.isUnused(n, this.survey));
    const missingNow = this.findMissing();
    await Promise.all(this.selectOrders(unused, missingNow).map((order) => this.sendOrder(order)));
  }

  /** The missing parts. They are computed again only when the state or the survey has changed. */
  private findMissing(): readonly StagePart[] {
    const { state } = this.o;
    const { survey } = this;
    if (this.cachedParts?.index !== state.index || this.cachedParts.survey !== survey) {
      this.cachedParts = {
        index: state.index,
        survey,
        parts: missingParts(state, survey.unserved),
      };
    }
    return this.cachedParts.parts;
  }

  /**
   * The orders to send now. Each upstream has at most one order at a time, and all upstreams
   * together at most `loadLimit` loads, which is what the weight store can serve.
   */
  private selectOrders(
    unused: readonly StagePart[],
    missing: readonly StagePart[],
  ): readonly UpstreamOrder[] {
    const { placement } = this.o.state;
    const busyUpstreams = new Set(placement.issued.map((i) => i.order.upstream));
    let freeLoads = this.o.loadLimit - placement.pendingLoads;
    const selected: UpstreamOrder[] = [];
    const orders = [
      ...unused.map((n) => orderOf(n, 'unload')),
      ...missing.map((n) => orderOf(n, 'load')),
    ];
    for (const order of orders) {
      if (order.action === 'load' && freeLoads <= 0) break;
      if (busyUpstreams.has(order.upstream) || !this.canSend(order)) continue;
      busyUpstreams.add(order.upstream);
      if (order.action === 'load') freeLoads -= 1;
      selected.push(order);
    }
    return selected;
  }

  /**
   * Whether an order may be sent now. An upstream that does not check fencing tokens could still
   * carry out an order of an earlier holder, so it is sent none until these have ended.
   */
  private canSend(order: UpstreamOrder): boolean {
    const isDue = this.o.clock.now() >= (this.retryAt.get(orderIdOf(order)) ?? -Infinity);
    return isDue && (this.o.checksFencing(order.upstream) || this.oldOrdersEnded);
  }

  /** Whether every order of earlier holders has arrived or never will. */
  private get oldOrdersEnded(): boolean {
    const { clock, longestLeaseMs } = this.o;
    return clock.now() >= this.acquiredAt + longestLeaseMs + orderTimeoutMs;
  }

  /**
   * Checks that the upstream is idle and still needs the order, records the order, and sends it
   * once. Unless the upstream refuses it, the order stays recorded until `checkOrder` finds that it
   * ended.
   */
  private async sendOrder(order: UpstreamOrder): Promise<void> {
    const { state, placements, proposals, loadLimit } = this.o;
    const url = state.upstreams.get(order.upstream)?.url;
    const holding = url === undefined ? undefined : await this.readHolding(url);
    if (url === undefined || !holding || holding.busy || isDone(order, holding)) return;
    const { epoch } = this;
    const issued = await proposals.propose(
      { kind: 'issue-upstream-order', epoch, order, loadLimit },
      proposeTimeoutMs,
    );
    if (issued.isErr() || issued.value.outcome.kind !== 'done' || !this.isHeld) return;
    const { action, model, part } = order;
    const call = { fence: epoch, action, model, part };
    const reply = await placements.sendOrder(url, call, orderTimeoutMs);
    this.o.metrics.count('placement.order', { action, outcome: reply.kind });
    const { upstream } = order;
    this.o.logger.info('Sent an order.', {
      upstream,
      action,
      part: part.name,
      outcome: reply.kind,
    });
    if (reply.kind === 'refused') await this.settle(order, false);
  }

  /** Settles an issued order if the upstream has carried it out or can no longer do so. */
  private async checkOrder({ order, epoch }: IssuedOrder): Promise<void> {
    const url = this.o.state.upstreams.get(order.upstream)?.url;
    const holding = url === undefined ? undefined : await this.readHolding(url);
    if (!holding || holding.busy) return;
    const done = isDone(order, holding);
    // An order of an earlier holder may still be on its way.
    if (done || epoch === this.epoch || this.oldOrdersEnded) await this.settle(order, done);
  }

  /** Records that an order has ended; if it failed, it may be sent again after `retryDelayMs`. */
  private async settle(order: UpstreamOrder, done: boolean): Promise<void> {
    const { clock, metrics, proposals } = this.o;
    const id = orderIdOf(order);
    if (done) this.retryAt.delete(id);
    else this.retryAt.set(id, clock.now() + retryDelayMs);
    metrics.count('placement.settled', { action: order.action, outcome: done ? 'done' : 'failed' });
    await proposals.propose(
      { kind: 'settle-upstream-order', epoch: this.epoch, order },
      proposeTimeoutMs,
    );
  }

  private readHolding(url: string): Promise<Holding | undefined> {
    return this.o.placements.fetchHolding(url, readTimeoutMs);
  }
}

function orderOf({ upstream, stage, part }: StagePart, action: 'load' | 'unload'): UpstreamOrder {
  const { id, incarnation } = upstream;
  return { upstream: id, incarnation, model: stage.model, action, part };
}

/** Whether what the upstream holds already matches the order. */
function isDone({ action, part }: UpstreamOrder, holding: Holding): boolean {
  return includesPart(holding, part) === (action === 'load');
}

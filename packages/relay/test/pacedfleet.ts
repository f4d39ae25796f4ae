/** Entries, a leader's paces and upstreams of a plain service, by the clock of the test. */

import {
  DataCentreId,
  HeldClock,
  NodeId,
  SeededRandom,
  StatsdMetrics,
  silentLogger,
} from '@tanagercart/base';
import type { Millis, UpstreamId } from '@tanagercart/base';
import { FleetView, Paces, sumByUpstream } from '@tanagercart/fleet';
import type { EntryRecord, Slowness, UpstreamRecord } from '@tanagercart/protocol';
import { Balancer, Health, Loads, PaceLimits } from '../src/index.js';
import { bulletinOf, callOf, selectionOf, upstreamOf } from './fixtures.js';

/** How an upstream answers. */
export interface Temper {
  /** Requests that it serves at full speed, after so many answers; more take ten times as long. */
  readonly roomAfter: (answers: number) => number;
  readonly factor: number;
  readonly fails: boolean;
}

export const sound: Temper = { roomAfter: () => Infinity, factor: 1, fails: false };

const callMs: Millis = 200;
const tickMs: Millis = 10;
const exchangeMs: Millis = 250;
const observeMs: Millis = 100;

/** What the callers of one upstream saw. */
export interface Seen {
  running: number;
  highest: number;
  answers: number;
  slow: number;
}

class PacedEntry {
  readonly view: FleetView;
  readonly loads = Loads.create();
  readonly paces: PaceLimits;
  readonly balancer: Balancer;
  readonly health: Health;

  constructor(
    readonly record: EntryRecord,
    clock: HeldClock,
    random: SeededRandom,
    isPaced: boolean,
  ) {
    const { node, dataCentre } = record;
    const logger = silentLogger;
    this.view = FleetView.create({
      clock,
      logger,
      leaseMs: 60_000,
      parse: () => undefined,
      onLimits: () => undefined,
    });
    const { view, loads } = this;
    this.health = Health.create(clock);
    const metrics = StatsdMetrics.create();
    this.paces = PaceLimits.create({ self: node, view, loads, clock, logger, metrics });
    const availability = {
      acceptsRequests: () => true,
      isLeaving: () => false,
      backOffMsOf: () => 0,
      isLimited: () => false,
      waitMsOf: () => 0,
    };
    this.balancer = Balancer.create({
      view,
      loads,
      health: this.health,
      random,
      dataCentre,
      availability,
      isSuspected: () => false,
      ...(isPaced ? { paces: this.paces } : {}),
    });
  }
}

/** A fleet under an even load. */
export class PacedFleet {
  readonly clock = HeldClock.create();
  paces = Paces.create(silentLogger);
  hasLeader = true;
  slow: readonly Slowness[] = [];
  refused = 0;
  /** Entries that have callers; undefined for all. */
  callersAt: number | undefined;
  readonly lost = new Set<UpstreamId>();
  readonly tempers = new Map<UpstreamId, Temper>();
  upstreams: readonly UpstreamRecord[];
  readonly entries: readonly PacedEntry[];
  private readonly random = SeededRandom.create(3);
  private readonly seen = new Map<UpstreamId, Seen>();
  private due = 0;

  constructor(entries: number, upstreams: number, isPaced = true) {
    const dataCentre = DataCentreId('north');
    this.upstreams = Array.from({ length: upstreams }, (_, i) =>
      upstreamOf(`u${i}`, { slots: 16 }),
    );
    this.entries = Array.from({ length: entries }, (_, i) => {
      const node = NodeId(`e${i}`);
      const record = { node, dataCentre, address: `e${i}:1`, phase: 'ready' } as const;
      return new PacedEntry(record, this.clock, this.random, isPaced);
    });
  }

  /** Starts an upstream, or a new incarnation of it. */
  start(id: string, temper: Temper, born = 2): UpstreamId {
    const record = upstreamOf(id, { slots: 16, born });
    this.tempers.set(record.id, temper);
    this.upstreams = [...this.upstreams.filter((u) => u.id !== record.id), record];
    return record.id;
  }

  /** Runs for `ms` with so many requests a second; `onTick` is called before each step of time. */
  async run(ms: Millis, perSecond: number, onTick: () => void = () => undefined): Promise<void> {
    for (let at = 0; at < ms; at += tickMs) {
      const now = this.clock.now();
      if (this.hasLeader && now % observeMs === 0) this.observe();
      if (this.hasLeader && now % exchangeMs === 0) this.exchange();
      onTick();
      this.due += (perSecond * tickMs) / 1000;
      for (; this.due >= 1; this.due -= 1) this.send();
      await this.clock.advance(tickMs);
    }
  }

  seenAt(id: UpstreamId): Seen {
    const seen = this.seen.get(id) ?? { running: 0, highest: 0, answers: 0, slow: 0 };
    this.seen.set(id, seen);
    return seen;
  }

  /** The limit that the leader has for an upstream; undefined where it is not paced. */
  limitOf(id: UpstreamId): number | undefined {
    return this.paces.rows.find((row) => row[0] === id)?.[2];
  }

  private observe(): void {
    const loads = sumByUpstream(this.entries.flatMap((e) => e.loads.all));
    this.paces.observe(this.upstreams, this.clock.now(), {
      isLost: (u) => this.lost.has(u.id),
      slow: this.slow,
      sequencesAt: (id) => loads.get(id)?.sequences ?? 0,
    });
  }

  private exchange(): void {
    const now = this.clock.now();
    for (const { record, paces } of this.entries) {
      this.paces.record(record.node, paces.reports, now);
    }
    const loads = [...sumByUpstream(this.entries.flatMap((e) => e.loads.all)).values()];
    const entries = this.entries.map((e) => e.record);
    const bulletin = bulletinOf({ entries, loads, paces: this.paces.rows });
    const update = { kind: 'update', index: 1, whole: true, document: undefined } as const;
    const { upstreams } = this;
    for (const entry of this.entries) {
      const call = { loads: entry.loads.all, documentVersion: 0 };
      entry.view.apply({ ...update, quarantined: [], bulletin, upstreams }, now, call);
    }
  }

  private send(): void {
    const count = this.callersAt ?? this.entries.length;
    const entry = this.entries[Math.floor(this.random.next() * count)]!;
    const { balancer, loads, paces } = entry;
    const startedAt = this.clock.now();
    const call = callOf('idempotent');
    const target = balancer.pick(call, selectionOf());
    if (typeof target === 'string') {
      this.refused += 1;
      return;
    }
    const expectation = paces.expect(call, target, startedAt);
    const release = loads.add(target.requestLoads);
    const { upstream } = target;
    const temper = this.tempers.get(upstream.id) ?? sound;
    const seen = this.seenAt(upstream.id);
    seen.running += 1;
    seen.highest = Math.max(seen.highest, seen.running);
    const isOver = seen.running > temper.roomAfter(seen.answers);
    if (isOver) seen.slow += 1;
    const load = 1 + (2 * seen.running) / upstream.slots;
    const tookMs = callMs * load * temper.factor * (isOver ? 10 : 1);
    void this.clock.sleep(tookMs).then(() => {
      release();
      seen.running -= 1;
      seen.answers += 1;
      if (temper.fails) {
        paces.record(upstream, 'failed', startedAt);
        entry.health.recordFailure(upstream, 'answered');
        return;
      }
      paces.recordAnswer(expectation, tookMs);
      entry.health.recordSuccess(upstream, tookMs);
    });
  }
}

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { ok } from 'neverthrow';
import {
  DataCentreId,
  HeldClock,
  NodeId,
  SeededRandom,
  ServiceId,
  SystemClock,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { FleetView, sumByService, sumByUpstream } from '@tanagercart/fleet';
import { linkMs } from '@tanagercart/layers';
import { engine as engineOf } from '@tanagercart/layers/test';
import type {
  EntryRecord,
  TransferLoad,
  UpstreamLoad,
  UpstreamRecord,
} from '@tanagercart/protocol';
import { Balancer, Health, Loads, Transfers, estimateTransfers } from '../src/index.js';
import type { Target, UpstreamClient } from '../src/index.js';
import {
  FakeCaller,
  bulletinOf,
  callOf,
  events,
  relayOf,
  responseOf,
  routeOf,
  selectionOf,
  viewOf,
} from './fixtures.js';

const pool = ServiceId('pool');
const north = DataCentreId('north');
const south = DataCentreId('south');

/** One prompt of 800 tokens is 24 MB, so that the link carries 54 of them a second. */
const engine = engineOf({
  layerMb: 175,
  interDataCentreMbps: 10_400,
  meanPromptTokens: 800,
  meanAnswerTokens: 150,
});
const latencyTargetMs: Millis = 690;
const computeMs: Millis = 150;
const service = { id: pool, maxConnections: 10, engine };
const call = callOf('resumable-stream', {
  service,
  route: routeOf('resumable-stream', { latencyTargetMs }),
});

/** Stages of half of the layers. */
function halves(dataCentre: DataCentreId, from: 0 | 40, count: number): readonly UpstreamRecord[] {
  return Array.from({ length: count }, (_, i): UpstreamRecord => {
    const id = UpstreamId(`${dataCentre}-${from}-${i}`);
    const layers = { from, to: from + 40 };
    const rest = { born: 1, service: pool, dataCentre, phase: 'ready', slots: 134 } as const;
    return { id, address: `${id}:1`, accelerator: 'middle', layers, ...rest };
  });
}

const near = halves(north, 40, 10);

const upstreams = [...halves(north, 0, 10), ...near, ...halves(south, 40, 10)];

interface Entry {
  readonly view: FleetView;
  readonly loads: Loads;
  readonly balancer: Balancer;
  reported: { loads: readonly UpstreamLoad[]; transfers: readonly TransferLoad[] };
}

/** Entries of one data centre whose prompts share one link to the other data centre. */
class LinkedFleet {
  readonly clock = HeldClock.create();
  /** First tokens by their delay, and the hops that crossed. */
  readonly firstTokenMs: Millis[] = [];
  crossed = 0;
  longestQueueMs: Millis = 0;
  private readonly random = SeededRandom.create(7);
  private readonly entries: readonly Entry[];
  private readonly records: readonly EntryRecord[];
  private linkFreeAt: Millis = 0;

  /** The later layers are slower by `nearSlowness` in the data centre of the entries than in the other. */
  constructor(
    count: number,
    private readonly nearSlowness: number,
  ) {
    this.records = Array.from({ length: count }, (_, i) => ({
      node: NodeId(`e${i}`),
      dataCentre: north,
      address: `e${i}:1`,
      phase: 'ready',
    }));
    this.entries = this.records.map(() => this.createEntry());
  }

  private createEntry(): Entry {
    const { clock, random } = this;
    const view = FleetView.create({
      clock,
      logger: silentLogger,
      leaseMs: 60_000,
      parse: () => undefined,
      onLimits: () => undefined,
    });
    const loads = Loads.create();
    const availability = {
      acceptsRequests: () => true,
      isLeaving: () => false,
      backOffMsOf: () => 0,
      isLimited: () => false,
      waitMsOf: () => 0,
    };
    const balancer = Balancer.create({
      view,
      loads,
      random,
      availability,
      health: Health.create(clock),
      dataCentre: north,
      isSuspected: () => false,
    });
    return { view, loads, balancer, reported: { loads: [], transfers: [] } };
  }

  /** All entries report, and receive the sums of the reports of the exchange before. */
  exchange(): void {
    const before = this.entries.map((e) => e.reported);
    const bulletin = bulletinOf({
      entries: this.records,
      slow: near.map(({ id }) => ({ id, factor: this.nearSlowness })),
      loads: [...sumByUpstream(before.flatMap((r) => r.loads)).values()],
      transfers: [...sumByService(before.flatMap((r) => r.transfers)).values()],
    });
    for (const entry of this.entries) {
      const update = { kind: 'update', index: 1, whole: true, document: undefined } as const;
      const reported = { ...entry.reported, documentVersion: 0 };
      const { clock } = this;
      entry.view.apply({ ...update, quarantined: [], bulletin, upstreams }, clock.now(), reported);
      entry.reported = { loads: entry.loads.all, transfers: entry.loads.transfers.all };
    }
  }

  /** Sends a prompt from a random entry over the link, if its path crosses, at 1/`slowness` rate. */
  send(slowness: number): void {
    const { balancer, loads } = this.entries[Math.floor(this.random.next() * this.entries.length)]!;
    const target = balancer.pick(call, selectionOf({ targetLeftMs: latencyTargetMs }));
    if (typeof target === 'string') throw new Error(target);
    const releases = [
      loads.add(target.requestLoads),
      loads.transfers.add(pool, target.link?.bytes ?? 0),
    ];
    const tookMs = this.transfer(target, slowness) + computeMs;
    this.firstTokenMs.push(tookMs);
    void this.clock.sleep(tookMs).then(() => releases.forEach((release) => release()));
  }

  /** Time until the link has transferred the prompt, after those before it. */
  private transfer({ link }: Target, slowness: number): Millis {
    if (!link || link.bytes === 0) return 0;
    const now = this.clock.now();
    this.crossed += 1;
    this.longestQueueMs = Math.max(this.longestQueueMs, this.linkFreeAt - now);
    this.linkFreeAt = Math.max(now, this.linkFreeAt) + linkMs(engine, link.bytes) * slowness;
    return this.linkFreeAt - now;
  }
}

/** Sends 250 prompts a second for 13 s; the link is slower by a factor of 3 from 3 s to 10 s. */
async function play(fleet: LinkedFleet, reportMs: Millis) {
  fleet.exchange();
  await fleet.clock.advance(reportMs === Infinity ? 5000 : 0);
  for (let ms = 0; ms < 13_000; ms += 4) {
    if (reportMs !== Infinity && ms % reportMs === 0) fleet.exchange();
    fleet.send(ms >= 3000 && ms < 10_000 ? 3 : 1);
    await fleet.clock.advance(4);
  }
  const inTime = fleet.firstTokenMs.filter((ms) => ms <= latencyTargetMs).length;
  return { inTime: inTime / fleet.firstTokenMs.length, sent: fleet.firstTokenMs.length };
}

// Guards against a queue on the link that grows until every prompt that crosses is late, while the
// same prompts could have stayed in their data centre.
test('a slow link makes few prompts late where they need not cross it, for any number of entries', async () => {
  // The cost of the queue exceeds that of the slower stages in the first case only.
  const cases = [1.5, 4].flatMap((slowness) => [1, 8, 40].map((n) => [n, slowness] as const));
  for (const [count, slowness] of cases) {
    const fleet = new LinkedFleet(count, slowness);
    const { inTime, sent } = await play(fleet, 240);
    const { crossed, longestQueueMs } = fleet;
    const seen = `${count} entries, ${slowness}: ${inTime} of ${sent}, ${crossed} crossed, ${longestQueueMs} ms`;
    assert.ok(inTime > 0.95, seen);
    assert.ok(crossed > 150, seen);
    assert.ok(longestQueueMs < 2 * latencyTargetMs, seen);
  }
});

// Guards against a queue without bound while the leader is lost.
test('without a bulletin each entry leaves the others their part of the link', async () => {
  const fleet = new LinkedFleet(8, 4);
  const { inTime, sent } = await play(fleet, Infinity);
  const seen = `${inTime} of ${sent}, ${fleet.crossed} crossed, ${fleet.longestQueueMs} ms`;
  assert.ok(inTime > 0.95, seen);
  assert.ok(fleet.crossed > 100, seen);
});

/** A client with a stream whose next event, or error, the function `next` sends. */
function steppedClient() {
  let stream: ReadableStreamDefaultController<Uint8Array> | undefined;
  const client: UpstreamClient = {
    send: (_, __, stop) => {
      const body = new ReadableStream<Uint8Array>({
        start: (controller) => {
          stream = controller;
          stop.addEventListener('abort', () => controller.error(new Error('aborted')));
        },
      });
      return Promise.resolve(ok({ ...responseOf(200, []), body }));
    },
    probe: () => Promise.resolve({ kind: 'waiting' }),
  };
  const next = (chunk: string | Error) => {
    if (typeof chunk === 'string') stream!.enqueue(Buffer.from(chunk));
    else stream!.error(chunk);
  };
  return { client, next };
}

/** Waits until `holds`; the test fails by its timeout if it never does. */
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await nextTurn();
}

test('a prompt counts as a transfer until its first token, or the failure of its attempt', async () => {
  for (const [chunk, ends] of [
    [events(1, 1), false],
    [new Error('cut'), true],
  ] as const) {
    const clock = SystemClock.create();
    const { client, next } = steppedClient();
    const view = viewOf(clock, [...halves(north, 0, 1), ...halves(south, 40, 1)]);
    const { relay, loads } = relayOf({ clock, client, view, slack: 0 });
    const caller = new FakeCaller();
    const serving = relay.serve({ ...call, startedAt: clock.now() }, caller);
    await until(() => loads.transfers.of(pool) === 24_000_000);
    next(chunk);
    await until(() => loads.transfers.all.length === 0);
    assert.equal(loads.all.length === 0, ends, 'a request keeps its memory after the first token');
    caller.connection.abort();
    await serving;
  }
});

test('a full link is used rather than a stage whose memory is full, and where there is no other', () => {
  const decisions = [
    { full: false, withNear: true },
    { full: true, withNear: true },
    { full: false, withNear: false },
  ].map(({ full, withNear }) => {
    const stages = [...halves(north, 0, 1), ...halves(south, 40, 1)];
    const some = withNear ? [...stages, ...halves(north, 40, 1)] : stages;
    const clock = HeldClock.create();
    const { balancer, loads } = relayOf({
      clock,
      client: steppedClient().client,
      view: viewOf(clock, some),
    });
    loads.transfers.add(pool, 24_000_000 * 30);
    const load = { sequences: 1, entered: 0, tokenLayers: full ? 1e9 : 0 };
    if (withNear) loads.add([{ id: near[0]!.id, ...load }]);
    const target = balancer.pick(call, selectionOf({ targetLeftMs: latencyTargetMs }));
    return typeof target === 'string' ? target : target.link!.decision;
  });
  assert.deepEqual(decisions, ['avoided', 'only-path', 'only-path']);
});

test('whatever size a caller names, only the transfers of others are left once its request ends', () => {
  for (const bytes of [0.1, 0.7, -5, -24e6, 1e300]) {
    const transfers = Transfers.create();
    const release = transfers.add(pool, bytes);
    const releaseOther = transfers.add(pool, 24e6);
    release();
    assert.equal(transfers.of(pool), 24e6, `${bytes}`);
    releaseOther();
    assert.deepEqual(transfers.all, []);
  }
});

test('the transfers of the other entries are those reported, and what they added as this one did', () => {
  assert.equal(estimateTransfers(30, { own: 10, others: 50 }, 2), 30 + 50 + 2 * 20);
  assert.equal(estimateTransfers(0, { own: 40, others: 50 }, 2), 0);
  assert.equal(estimateTransfers(30, undefined, 2), 90);
});

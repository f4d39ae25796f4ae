import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ok } from 'neverthrow';
import { DataCentreId, HeldClock, NodeId, RequestId, SeededRandom } from '@tanagercart/base';
import type { Clock, Millis } from '@tanagercart/base';
import { engine as engineOf } from '@tanagercart/layers/test';
import { allowedRequests, contactMs, mostInWindow, reactionMs } from '@tanagercart/pacing/test';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { Attempt, Call, UpstreamClient, UpstreamResponse } from '../src/index.js';
import {
  FakeCaller,
  FakeClient,
  bulletinOf,
  callOf,
  desk,
  noticesOf,
  relayOf,
  selectionOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';

const upstreams = ['one', 'two', 'three'].map((id) => upstreamOf(id));

const workMs: Millis = 50;

/** A request that an upstream received. */
interface Arrival {
  readonly upstream: string;
  readonly entry: number;
  readonly at: Millis;
}

/** Upstreams that name a limit from `from` to `to`, if they have one, and note what they receive. */
class LimitedUpstreams {
  readonly arrivals: Arrival[] = [];
  /** When each entry was first told of each limit, by "upstream entry". */
  readonly toldAt = new Map<string, Millis>();

  constructor(
    private readonly clock: Clock,
    private readonly limits: Readonly<Record<string, number>>,
    private readonly from: Millis,
    private readonly to: Millis,
  ) {}

  clientOf(entry: number): UpstreamClient {
    return {
      send: async (_: Call, { upstream }: Attempt) => {
        this.arrivals.push({ upstream: upstream.id, entry, at: this.clock.now() });
        await this.clock.sleep(workMs);
        return ok(this.responseOf(upstream.id, entry));
      },
      probe: () => Promise.resolve({ kind: 'waiting' }),
    };
  }

  private responseOf(upstream: string, entry: number): UpstreamResponse {
    const now = this.clock.now();
    const perSecond = this.limits[upstream];
    const names = perSecond !== undefined && now >= this.from && now < this.to;
    const key = `${upstream} ${entry}`;
    if (names && !this.toldAt.has(key)) this.toldAt.set(key, now);
    return {
      head: { status: 200, reason: '', headers: [], closeDelimited: false },
      notices: noticesOf(names ? { rateLimit: { kind: 'limited', perSecond } } : {}),
      culprit: undefined,
      body: emptyBody(),
    };
  }

  /** The most requests in a window, of entries that had been told, less those allowed. */
  worstExcess(upstream: string): number {
    const told = (a: Arrival) => this.toldAt.get(`${a.upstream} ${a.entry}`) ?? Infinity;
    const counted = this.arrivals
      .filter((a) => a.upstream === upstream && a.at < this.to && a.at >= told(a) + reactionMs)
      .map((a) => a.at);
    return mostInWindow(counted, this.from + contactMs) - allowedRequests(this.limits[upstream]!);
  }
}

async function* emptyBody(): AsyncGenerator<Uint8Array> {
  yield Buffer.from('figs');
}

/** Plays `perSecond` requests a second at eight entries that share the upstreams. */
async function play(limits: Readonly<Record<string, number>>, perSecond: number, forMs: Millis) {
  const clock = HeldClock.create();
  const served = new LimitedUpstreams(clock, limits, 2000, forMs - 4000);
  const view = viewOf(clock, upstreams);
  const nodes = Array.from({ length: 8 }, (_, i) => NodeId(`e${i}`));
  const network = MemoryNetwork.create(clock, SeededRandom.create(1));
  const relays = nodes.map((self, i) => {
    const peers = { self, transport: network.attach(self), nodes: () => nodes };
    return relayOf({ clock, client: served.clientOf(i), view, peers }).relay;
  });
  const random = SeededRandom.create(7);
  const callers: FakeCaller[] = [];
  for (let n = 0; clock.now() < forMs; n += 1) {
    const caller = new FakeCaller();
    callers.push(caller);
    const call = callOf('idempotent', { id: RequestId(`r${n}`), startedAt: clock.now() });
    void relays[Math.floor(random.next() * relays.length)]!.serve(call, caller);
    await clock.advance((2 * 1000 * random.next()) / perSecond);
  }
  await clock.advance(2000);
  return { served, callers };
}

test('entries together do not send an upstream more requests than the limit that it named', async () => {
  const { served, callers } = await play({ one: 4, two: 4 }, 40, 20_000);
  for (const upstream of ['one', 'two']) {
    const excess = served.worstExcess(upstream);
    assert.ok(excess <= 0, `${excess} requests too many in 4 s`);
  }
  const answered = callers.filter((c) => c.head?.status === 200).length;
  assert.equal(answered, callers.length, 'the third upstream serves what they do not take');
});

test('requests that no upstream accepts soon enough are refused at once as not run', async () => {
  const limits = { one: 1, two: 1, three: 1 };
  const { served, callers } = await play(limits, 20, 20_000);
  for (const upstream of Object.keys(limits)) {
    const excess = served.worstExcess(upstream);
    assert.ok(excess <= 0, `${excess} requests too many in 4 s`);
  }
  const refusals = callers.flatMap((c) => (c.refusal ? [c.refusal] : []));
  assert.ok(refusals.length > 100);
  for (const refusal of refusals) {
    assert.ok(refusal.kind === 'not-run' && refusal.reason === 'limited');
    assert.ok(refusal.retryAfterMs > 200 && refusal.retryAfterMs < 2500);
  }
  assert.equal(callers.filter((c) => c.received === '').length, 0);
  const whileLimited = served.arrivals.filter((a) => a.at >= 3000 && a.at < 16_000).length;
  assert.ok(whileLimited >= 3 * 13 * 0.85, `${whileLimited} requests in 13 s at 3 a second`);
});

test('a stage without a permit is a later stage of a path, and not the first', () => {
  const clock = HeldClock.create();
  const engine = engineOf({ layerCount: 20 });
  const service = { id: desk, maxConnections: 10, engine };
  const stageAt = (id: string, from: number, to: number) =>
    upstreamOf(id, { accelerator: 'large', layers: { from, to } });
  const view = viewOf(clock, [stageAt('first', 0, 10), stageAt('both', 0, 20)]);
  const { balancer, pacer } = relayOf({ clock, view, client: new FakeClient([]) });
  for (const id of ['first', 'both']) {
    pacer.record(RequestId('r'), upstreamOf(id), { kind: 'limited', perSecond: 1 });
  }
  const call = callOf('resumable-stream', { service });
  const withoutPermit = new Set([upstreamOf('both').id]);
  const target = balancer.pick(call, selectionOf({ withoutPermit }));
  assert.ok(typeof target !== 'string');
  assert.deepEqual(
    target.path?.map((p) => p.stage.id),
    ['first', 'both'],
  );
  const none = new Set([...withoutPermit, upstreamOf('first').id]);
  assert.equal(balancer.pick(call, selectionOf({ withoutPermit: none })), 'limited');
});

test('a request that waits for a permit is not sent to an upstream that leaves meanwhile', async () => {
  const clock = HeldClock.create();
  const view = viewOf(clock, [upstreamOf('one')]);
  const client = new FakeClient([{ kind: 'answer', status: 200, chunks: ['figs'] }]);
  const { relay, pacer } = relayOf({ clock, view, client });
  pacer.record(RequestId('r'), upstreamOf('one'), { kind: 'limited', perSecond: 8 });
  const caller = new FakeCaller();
  const served = relay.serve(callOf('non-idempotent', { priority: 0 }), caller);
  await clock.advance(100);
  assert.equal(client.sent.length, 0, 'the permit is due after 125 ms');
  const records = [upstreamOf('one', { phase: 'draining' }), upstreamOf('two')];
  const update = { kind: 'update', index: 2, whole: false, document: undefined } as const;
  const news = { ...update, quarantined: [], bulletin: bulletinOf(), upstreams: records };
  view.apply(news, 0, { loads: [], documentVersion: 0 });
  await clock.advance(100);
  await served;
  assert.deepEqual(
    client.sent.map((a) => a.upstream.id),
    ['two'],
  );
  assert.equal(caller.received, '200 figs ended');
});

test('a request goes to an upstream without a limit, however many others have no permit', async () => {
  const clock = HeldClock.create();
  const limited = Array.from({ length: 12 }, (_, i) => upstreamOf(`limited-${i}`));
  const remote = upstreamOf('remote', { dataCentre: DataCentreId('south') });
  const view = viewOf(clock, [...limited, remote]);
  const client = new FakeClient([{ kind: 'answer', status: 200, chunks: ['figs'] }]);
  const { relay, pacer } = relayOf({ clock, view, client });
  for (const u of limited) pacer.record(RequestId('r'), u, { kind: 'limited', perSecond: 0.5 });
  const caller = new FakeCaller();
  await relay.serve(callOf('idempotent'), caller);
  assert.equal(caller.received, '200 figs ended');
});

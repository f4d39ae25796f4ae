import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  AccountId,
  DataCentreId,
  HeldClock,
  NodeId,
  SeededRandom,
  StatsdMetrics,
  UpstreamId,
  silentLogger,
} from '@tanagercart/base';
import { engine as engineOf } from '@tanagercart/layers/test';
import type { Bulletin, EntryRecord, WatchCall } from '@tanagercart/protocol';
import { Relay, RoomAdmission } from '../src/index.js';
import type { Call } from '../src/index.js';
import {
  FakeCaller,
  FakeClient,
  bulletinOf,
  callOf,
  desk,
  relayOf,
  routeOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';

const engine = engineOf();

/** One pipeline of two stages, whose room is 10 requests of `work`. */
const work = { promptTokens: 900, answerTokens: 100 };
const middle = engine.accelerators.find((a) => a.name === 'middle')!;
const layerCount = engine.layerCount / 2;
const accelerator = {
  ...middle,
  memoryMb: layerCount * engine.layerMb + (10_000 * engine.kvBytesPerToken) / 2 / 1e6,
};
const service = {
  id: desk,
  maxConnections: 100,
  engine: { ...engine, accelerators: [accelerator] },
};
const stages = [0, layerCount].map((from, i) =>
  upstreamOf(`u${i}`, {
    layers: { from, to: from + layerCount },
    accelerator: accelerator.name,
    slots: 100,
  }),
);

function entryOf(node: string): EntryRecord {
  const dataCentre = DataCentreId('north');
  return { node: NodeId(node), dataCentre, address: `${node}:1`, phase: 'ready' };
}

function requestOf(overrides: Partial<Call> = {}): Call {
  return callOf('idempotent', { service, work, route: routeOf('idempotent'), ...overrides });
}

function fixture(upstreams = stages) {
  const clock = HeldClock.create();
  const view = viewOf(clock, upstreams);
  const metrics = StatsdMetrics.create();
  const random = SeededRandom.create(1);
  const admission = RoomAdmission.create({ clock, random, logger: silentLogger, metrics, view });
  const learn = (bulletin: Partial<Bulletin>, call: Partial<WatchCall> = {}) => {
    const rest = { whole: false, upstreams: [], document: undefined, quarantined: undefined };
    const update = { kind: 'update', index: 1, bulletin: bulletinOf(bulletin), ...rest } as const;
    view.apply(update, clock.now(), { loads: [], documentVersion: 0, ...call });
  };
  /** Number of requests that are admitted until one is refused; 50 at most. */
  const countAdmitted = () => {
    let count = 0;
    while (count < 50 && admission.admit(requestOf()).kind === 'admitted') count += 1;
    return count;
  };
  return { clock, view, metrics, admission, learn, countAdmitted };
}

/** What other entries use: `requests` requests of `work`. */
function loadsOf(requests: number) {
  return stages.map(({ id }, i) => ({
    id,
    sequences: requests,
    entered: i === 0 ? requests : 0,
    tokenLayers: requests * 1000 * layerCount,
  }));
}

const pairOfEntries = [entryOf('self'), entryOf('other')];

test('a request without room is refused as not run, with a time within what its caller has', async () => {
  const { clock, view, admission, metrics, learn } = fixture();
  learn({ entries: pairOfEntries, loads: loadsOf(5) });
  const client = new FakeClient([]);
  const parts = relayOf({ clock, client, view, metrics });
  const relay = Relay.create({ ...parts.options, admission });
  const callers = Array.from({ length: 6 }, () => new FakeCaller());
  const served = callers.map((caller) => relay.serve(requestOf(), caller));
  await clock.advance(0);
  const refused = callers.filter((c) => c.refusal);
  assert.equal(refused.length, 2, 'the other four are the share of this entry');
  for (const { refusal } of refused) {
    assert.ok(refusal?.kind === 'not-run' && refusal.reason === 'no-room');
    assert.ok(refusal.retryAfterMs > 0 && refusal.retryAfterMs <= 1000 / 3);
  }
  assert.equal(client.sent.length, 4);
  assert.equal(metrics.read('admission.refused', { priority: '1' }), 2);
  // Their time is over, so that they hold nothing any more.
  await clock.advance(1000);
  await Promise.all(served);
  assert.equal(admission.admit(requestOf({ startedAt: clock.now() })).kind, 'admitted');
});

test('nothing is refused while there is room, or of a service without an engine', () => {
  const { admission, learn, countAdmitted } = fixture();
  learn({ entries: pairOfEntries, loads: loadsOf(0) });
  assert.equal(countAdmitted(), 8);
  const plain = callOf('idempotent');
  for (let i = 0; i < 50; i += 1) assert.equal(admission.admit(plain).kind, 'admitted');
  assert.deepEqual(
    admission.demand.map((d) => d.service),
    [desk],
  );
});

test('an entry with old reports keeps to an even share of the room', async () => {
  const { clock, learn, countAdmitted } = fixture();
  const demand = { reporters: 2, services: [{ service: desk, tokensPerSecond: [0, 1e6] }] };
  learn({ entries: pairOfEntries, loads: loadsOf(500), demand });
  await clock.advance(3000);
  assert.equal(countAdmitted(), 4);
});

test('an entry that knows no room, or no layers, refuses nothing', () => {
  assert.equal(fixture([]).countAdmitted(), 50);
  assert.equal(fixture([stages[0]!]).countAdmitted(), 50);
});

test('the room is that of the upstreams that are ready now', () => {
  const { view, admission, clock, learn, countAdmitted } = fixture();
  learn({ entries: [entryOf('self')] });
  assert.equal(countAdmitted(), 8);
  const more = stages.map((u) => ({ ...u, id: UpstreamId(`${u.id}-2`) }));
  const rest = { document: undefined, quarantined: undefined, bulletin: bulletinOf() };
  const update = { kind: 'update', index: 2, whole: false, upstreams: more, ...rest } as const;
  view.apply(update, clock.now(), { loads: [], documentVersion: 0 });
  assert.equal(admission.admit(requestOf({ account: AccountId('new') })).kind, 'admitted');
  assert.equal(countAdmitted(), 8);
});

test('the demand of this entry is not counted among that of the others', () => {
  const { view, learn } = fixture();
  assert.equal(view.peerDemandFor(desk), undefined);
  const rates = (...tokensPerSecond: number[]) => ({ service: desk, tokensPerSecond });
  learn({ demand: { reporters: 2, services: [rates(100, 50, 10)] } }, { demand: [rates(30, 60)] });
  assert.deepEqual(view.peerDemandFor(desk), [70, 0, 10]);
  assert.equal(view.demandReporters, 2);
});

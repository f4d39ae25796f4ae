import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, silentLogger } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { Paces } from '@tanagercart/fleet';
import { engine as engineOf } from '@tanagercart/layers/test';
import type { PaceRow, UpstreamRecord } from '@tanagercart/protocol';
import {
  FakeCaller,
  FakeClient,
  bulletinOf,
  callOf,
  desk,
  events,
  relayOf,
  routeOf,
  selectionOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';
import type { Script } from './fixtures.js';
import { PacedFleet, sound } from './pacedfleet.js';
import type { Temper } from './pacedfleet.js';

/** Serves one more request at full speed after every two answers. */
const cold: Temper = { ...sound, roomAfter: (answers) => 1 + answers / 2 };

/** Runs a fleet until its upstreams are in steady state. */
async function steadyFleet(entries = 8, isPaced = true): Promise<PacedFleet> {
  const fleet = new PacedFleet(entries, 5, isPaced);
  await fleet.run(2000, 100);
  return fleet;
}

/** Whether an upstream is paced, and how it went. */
function stateOf(fleet: PacedFleet, id: ReturnType<PacedFleet['start']>) {
  return { limit: fleet.limitOf(id), ...fleet.seenAt(id) };
}

test('a started upstream is not flooded by entries that all find it free', async () => {
  const slowAnswers = async (isPaced: boolean) => {
    const fleet = await steadyFleet(8, isPaced);
    const id = fleet.start('new', cold);
    await fleet.run(4000, 100);
    return fleet.seenAt(id).slow;
  };
  const [paced, unpaced] = [await slowAnswers(true), await slowAnswers(false)];
  assert.ok(paced * 5 <= unpaced, `${paced} slow answers, and ${unpaced} without a pace`);
});

test('a started upstream that answers well is not left idle', async () => {
  const fleet = await steadyFleet();
  const id = fleet.start('new', sound);
  await fleet.run(6000, 100);
  const { limit, answers } = stateOf(fleet, id);
  assert.ok(limit === undefined && answers > 50, `limit ${limit} after ${answers} answers`);
});

test('a first request is sent also where the entries that may send it have no callers', async () => {
  const fleet = await steadyFleet(8);
  fleet.callersAt = 1;
  for (let i = 0; i < 5; i += 1) {
    const id = fleet.start(`new${i}`, sound);
    await fleet.run(40_000, 20);
    assert.ok(fleet.seenAt(id).answers > 0, id);
  }
});

test('many entries do not each send a first request', async () => {
  const fleet = await steadyFleet(40);
  const id = fleet.start('new', { ...sound, factor: 50 });
  await fleet.run(3000, 100);
  assert.equal(fleet.seenAt(id).highest, 1);
});

test('an upstream that flaps is tried more slowly with each start', async () => {
  const fleet = await steadyFleet();
  const highest: number[] = [];
  for (let born = 2; born < 8; born += 1) {
    const id = fleet.start('flapping', sound, born);
    fleet.seenAt(id).highest = 0;
    await fleet.run(2500, 100);
    highest.push(fleet.seenAt(id).highest);
  }
  assert.ok(highest[0]! > 1 && highest.at(-1) === 1, highest.join(' '));
});

test('a grey upstream is held at a low limit while it is slow, and freed after', async () => {
  const fleet = await steadyFleet();
  const grey = fleet.upstreams[0]!.id;
  fleet.tempers.set(grey, { ...sound, factor: 8 });
  fleet.slow = [{ id: grey, factor: 8 }];
  await fleet.run(6000, 100);
  assert.equal(fleet.limitOf(grey), 1);
  fleet.tempers.set(grey, sound);
  fleet.slow = [];
  await fleet.run(20_000, 100);
  assert.equal(fleet.limitOf(grey), undefined);
});

test('an upstream that fails each request is held at one, and no request is refused', async () => {
  const fleet = await steadyFleet();
  const id = fleet.start('broken', { ...sound, fails: true });
  await fleet.run(5000, 100);
  const { limit, highest } = stateOf(fleet, id);
  assert.deepEqual(
    { limit, highest, refused: fleet.refused },
    { limit: 1, highest: 1, refused: 0 },
  );
});

test('a cold start of all is not slowed down by limits', async () => {
  const fleet = new PacedFleet(8, 0);
  await fleet.run(1000, 0);
  for (let i = 0; i < 6; i += 1) {
    fleet.start(`u${i}`, sound);
    await fleet.run(300, 0);
  }
  await fleet.run(2000, 100);
  const refusedByLimit = fleet.upstreams.filter((u) => fleet.limitOf(u.id) !== undefined);
  assert.deepEqual([refusedByLimit.length, fleet.refused], [0, 0]);
});

test('where nothing is paced, requests go where they went before', async () => {
  const spread = async (isPaced: boolean) => {
    const fleet = await steadyFleet(8, isPaced);
    await fleet.run(3000, 100);
    return fleet.upstreams.map((u) => fleet.seenAt(u.id));
  };
  assert.deepEqual(await spread(true), await spread(false));
});

test('an upstream in steady state has no limit after a single failed answer', async () => {
  const fleet = await steadyFleet();
  const { id } = fleet.upstreams[0]!;
  fleet.tempers.set(id, { ...sound, fails: true });
  await fleet.run(100, 100);
  fleet.tempers.set(id, sound);
  await fleet.run(2000, 100);
  assert.deepEqual(fleet.paces.rows, []);
});

test('entries that lost the leader step a limit by their answers, and the next leader takes it over', async () => {
  const fleet = await steadyFleet(2);
  const id = fleet.start('new', sound);
  await fleet.run(600, 100);
  const before = fleet.limitOf(id)!;
  fleet.hasLeader = false;
  await fleet.run(2600, 100);
  const stepped = fleet.entries.map((e) => e.paces.limitOf(fleet.upstreams.at(-1)!)!);
  assert.ok(Math.max(...stepped) > before, `${before} became ${stepped.join(' ')}`);
  fleet.paces = Paces.create(silentLogger);
  fleet.hasLeader = true;
  await fleet.run(250, 0);
  const steps = fleet.entries.flatMap((e) => e.paces.reports.map((r) => r[3]));
  assert.deepEqual(
    fleet.paces.rows.map((r) => r[3]),
    [Math.max(...steps)],
  );
});

test('an entry that lost the leader lets a limit fall on failed answers', async () => {
  const fleet = await steadyFleet(2);
  const id = fleet.start('new', sound);
  await fleet.run(1600, 100);
  const before = fleet.limitOf(id)!;
  fleet.hasLeader = false;
  fleet.tempers.set(id, { ...sound, fails: true });
  await fleet.run(5000, 100);
  const record = fleet.upstreams.at(-1)!;
  const after = Math.min(...fleet.entries.map((e) => e.paces.limitOf(record)!));
  assert.ok(after < before, `${before} became ${after}`);
});

/** A relay that has learned of paces; `serve` returns what it then reports. */
function relayWith(scripts: Script[], upstreams: readonly UpstreamRecord[], paces: PaceRow[]) {
  const clock = HeldClock.create();
  const view = viewOf(clock, upstreams);
  const update = { kind: 'update', whole: false, document: undefined, upstreams: [] } as const;
  const bulletin = bulletinOf({ paces });
  view.apply({ ...update, index: 2, quarantined: [], bulletin }, 0, {
    loads: [],
    documentVersion: 0,
  });
  const client = new FakeClient(scripts);
  client.probeResult = { kind: 'silent', detail: 'no answer' };
  const parts = relayOf({ clock, client, view });
  const serve = async (kind: 'idempotent' | 'resumable-stream') => {
    const served = parts.relay.serve(callOf(kind), new FakeCaller());
    // An interrupted stream waits for another target.
    await clock.advance(1100);
    await served;
    return parts.paces.reports.map((r) => r.slice(4));
  };
  return { ...parts, serve, client };
}

const one = upstreamOf('one');
const pacedOne: PaceRow = [one.id, one.born, 1, 1, 0];

test('each kind of end of an attempt counts once for the pace of its upstream', async () => {
  const endings: readonly [Script, 'idempotent' | 'resumable-stream', number[]][] = [
    [{ kind: 'answer', status: 200, chunks: ['figs'] }, 'idempotent', [1, 0, 0]],
    [{ kind: 'answer', status: 200, chunks: [events(1, 3)] }, 'resumable-stream', [1, 0, 0]],
    [{ kind: 'answer', status: 500, chunks: ['no'] }, 'idempotent', [0, 0, 1]],
    [{ kind: 'not-run' }, 'idempotent', [0, 0, 1]],
    [{ kind: 'unreachable' }, 'idempotent', [0, 0, 1]],
    [{ kind: 'cut', chunks: [events(1, 1)] }, 'resumable-stream', [1, 0, 1]],
    [{ kind: 'hang' }, 'resumable-stream', [0, 0, 1]],
  ];
  for (const [script, kind, expected] of endings) {
    const { serve } = relayWith([script], [one], [pacedOne]);
    assert.deepEqual(await serve(kind), [expected], `${script.kind} ${kind}`);
  }
});

test('an attempt that was found silent and then gone counts once', async () => {
  const { serve, client } = relayWith([{ kind: 'hang' }], [one], [pacedOne]);
  let probes = 0;
  client.probe = () => {
    probes += 1;
    return Promise.resolve({ kind: probes === 1 ? 'silent' : 'gone', detail: 'refused' });
  };
  assert.deepEqual(await serve('resumable-stream'), [[0, 0, 1]]);
  assert.ok(probes > 1);
});

test('an answer to an attempt from before the step does not count for it', () => {
  const { paces } = relayWith([], [one], [pacedOne]);
  paces.record(one, 'good', -1);
  paces.record({ ...one, born: one.born - 1 }, 'good', 0);
  assert.deepEqual(
    paces.reports.map((r) => r.slice(4)),
    [[0, 0, 0]],
  );
});

test('a bulletin without paces, as an older leader sends it, limits nothing', () => {
  const { paces, balancer } = relayWith([], [one], []);
  assert.deepEqual([paces.size, paces.limitOf(one), paces.isFull(one, 100)], [0, undefined, false]);
  assert.notEqual(typeof balancer.pick(callOf('idempotent'), selectionOf()), 'string');
});

test('a paced upstream at its limit serves what no other can, and nothing else', () => {
  const two = upstreamOf('two');
  const { balancer, loads } = relayWith([], [one, two], [pacedOne]);
  const loadAt = (id: UpstreamRecord['id'], sequences: number) =>
    loads.add([{ id, sequences, entered: 0, tokenLayers: 0 }]);
  const pick = (isExcluded: (u: UpstreamRecord) => boolean = () => false) => {
    const target = balancer.pick(callOf('idempotent'), selectionOf({ isExcluded }));
    return typeof target === 'string' ? target : target.upstream.id;
  };
  loadAt(one.id, 1);
  loadAt(two.id, two.slots - 1);
  assert.equal(pick(), 'two');
  assert.equal(
    pick((u) => u.id === two.id),
    'one',
  );
  loadAt(two.id, two.slots * 3);
  assert.equal(pick(), 'one');
  // Fewer than its slots, and many times its limit.
  loadAt(one.id, 4);
  assert.equal(pick(), 'two');
});

const engine = engineOf();

/** Two stages, of which each holds all layers. */
function stages(): readonly UpstreamRecord[] {
  const layers = { from: 0, to: engine.layerCount };
  const change = { accelerator: 'large', layers, slots: 134 };
  // An accelerator of this kind has no memory for all the layers, so the engine has smaller ones.
  return [upstreamOf('one', change), upstreamOf('two', change)];
}

const layered = { id: desk, maxConnections: 10, engine: engineOf({ layerMb: 100 }) };
const pipelineCall = callOf('resumable-stream', { service: layered });

test('a path avoids a stage at its limit, and uses it where no other holds the layers', () => {
  const [first, second] = stages();
  const { balancer, loads } = relayWith([], stages(), [[first!.id, first!.born, 1, 1, 0]]);
  const receivers = new Set<string>();
  for (let i = 0; i < 20; i += 1) {
    const target = balancer.pick(pipelineCall, selectionOf());
    if (typeof target === 'string') throw new Error(target);
    loads.add(target.requestLoads);
    receivers.add(`${i === 0 ? '' : 'later '}${target.upstream.id}`);
  }
  assert.ok((loads.at(first!.id)?.sequences ?? 0) <= 1, [...receivers].join(', '));
  const isExcluded = (u: UpstreamRecord) => u.id === second!.id;
  const only = balancer.pick(pipelineCall, selectionOf({ isExcluded }));
  assert.equal(typeof only === 'string' ? only : only.upstream.id, first!.id);
});

test('an answer of a busy fleet is not taken for one of a slow stage', () => {
  const [first, second] = stages();
  const { balancer, paces } = relayWith([], stages(), [[first!.id, first!.born, 8, 1, 0]]);
  const answer = (isExcluded: (u: UpstreamRecord) => boolean, factor: number) => {
    const target = balancer.pick(pipelineCall, selectionOf({ isExcluded }));
    if (typeof target === 'string') throw new Error(target);
    const expectation = paces.expect(pipelineCall, target, 0);
    const tookMs: Millis = expectation.predicted * factor;
    paces.recordAnswer(expectation, tookMs);
  };
  const [onFirst, onSecond] = [
    (u: UpstreamRecord) => u.id !== first!.id,
    (u: UpstreamRecord) => u.id !== second!.id,
  ];
  answer(onSecond, 6);
  answer(onFirst, 8);
  answer(onFirst, 40);
  assert.deepEqual(paces.reports[0]!.slice(4), [1, 1, 0]);
});

test('a paced upstream whose attempt is given up late counts as slow, and an early one as nothing', () => {
  const { paces, balancer } = relayWith([], [one, upstreamOf('two')], [pacedOne]);
  const call = callOf('idempotent', { route: routeOf('idempotent') });
  const expectationAt = (id: string) => {
    const target = balancer.pick(call, selectionOf({ isExcluded: (u) => u.id !== id }));
    if (typeof target === 'string') throw new Error(target);
    return paces.expect(call, target, 0);
  };
  paces.recordAnswer(expectationAt('two'), 100);
  paces.recordUnanswered(expectationAt('one'), 200);
  paces.recordUnanswered(expectationAt('one'), 400);
  assert.deepEqual(paces.reports[0]!.slice(4), [0, 1, 0]);
});

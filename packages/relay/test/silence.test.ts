import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { err, ok } from 'neverthrow';
import { HeldClock } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { CallKind, Route } from '@tanagercart/config';
import {
  FakeCaller,
  FakeClient,
  callOf,
  events,
  relayOf,
  responseOf,
  routeOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';
import type { RelayParts, Script } from './fixtures.js';
import { PausingUpstreams } from './pausingupstreams.js';
import type { Pause } from './pausingupstreams.js';

const eventCount = 10;

const whole = `200 ${events(0, eventCount - 1)} ended`;

/** Pauses by the id of the upstream. */
type Pauses = ReadonlyMap<string, readonly Pause[]>;

/** Serves one request from two sound upstreams that pause as given. */
async function serve(
  pauses: Pauses,
  route: Partial<Route> = {},
  { kind = 'resumable-stream', ...parts }: Partial<RelayParts> & { kind?: CallKind } = {},
  caller = new FakeCaller(),
) {
  const clock = HeldClock.create();
  const client = new PausingUpstreams(clock, eventCount, pauses);
  const view = viewOf(clock, [upstreamOf('one'), upstreamOf('two')]);
  const fixture = relayOf({ clock, client, view, ...parts });
  const times = { latencyTargetMs: 500, timeoutMs: 20_000 };
  const call = callOf(kind, { route: routeOf(kind, { ...times, ...route }), startedAt: 0 });
  void fixture.relay.serve(call, caller);
  for (let i = 0; i < 1000; i += 1) await clock.advance(20);
  assert.deepEqual(fixture.loads.all, [], 'the load of the request is released');
  return { ...fixture, caller, client };
}

/** Both upstreams pause at once. */
function pauseOfBoth(fromMs: Millis, silentMs: Millis): Pauses {
  const pause = { fromMs, toMs: fromMs + silentMs };
  return new Map([
    ['one', [pause]],
    ['two', [pause]],
  ]);
}

for (const [when, fromMs] of [
  ['in the middle of it', 120],
  ['before its first event', 0],
] as const) {
  test(`a stream whose sound upstreams fall silent ${when} is answered whole`, async () => {
    for (const silentMs of [500, 700, 900, 1100, 1500]) {
      for (const [maxAttempts, slack] of [
        [1, 100],
        [2, 100],
        [2, 0],
      ] as const) {
        const { caller } = await serve(pauseOfBoth(fromMs, silentMs), { maxAttempts }, { slack });
        assert.equal(
          caller.received,
          whole,
          `${silentMs} ms, ${maxAttempts} attempts, slack ${slack}`,
        );
      }
    }
  });
}

test('an idempotent request whose sound upstream falls silent is answered without a budget for retries', async () => {
  const pauses = pauseOfBoth(0, 1500);
  const { caller } = await serve(pauses, { timeoutMs: 2500 }, { kind: 'idempotent', slack: 0 });
  assert.equal(caller.received, whole);
});

test('however upstreams pause, a stream arrives whole, with each event once and in order', async () => {
  const pause = fc.record({ at: fc.nat(3000), forMs: fc.integer({ min: 1, max: 1800 }) });
  const pauses = fc
    .array(pause, { maxLength: 4 })
    .map((drawn) => drawn.map(({ at, forMs }) => ({ fromMs: at, toMs: at + forMs })));
  await fc.assert(
    fc.asyncProperty(pauses, pauses, fc.constantFrom(0, 100), async (one, two, slack) => {
      const drawn = new Map([
        ['one', one],
        ['two', two],
      ]);
      assert.equal((await serve(drawn, {}, { slack })).caller.received, whole);
    }),
    { numRuns: 60 },
  );
});

test('a stream goes on at another upstream while its own is silent', async () => {
  const pauses = new Map(
    ['one', 'two'].map((id) => [id, [{ fromMs: 120, toMs: id === 'one' ? 60_000 : 121 }]]),
  );
  const { caller, health } = await serve(pauses);
  assert.equal(caller.received, whole);
  assert.deepEqual(health.suspicions, []);
});

test('a silent upstream is reported as silent, and not once it goes on', async () => {
  const clock = HeldClock.create();
  const pauses = new Map([['one', [{ fromMs: 120, toMs: 1400 }]]]);
  const client = new PausingUpstreams(clock, eventCount, pauses);
  const { relay, health } = relayOf({ clock, client, view: viewOf(clock, [upstreamOf('one')]) });
  const route = routeOf('resumable-stream', { timeoutMs: 20_000 });
  void relay.serve(callOf('resumable-stream', { route, startedAt: 0 }), new FakeCaller());
  for (let i = 0; i < 100; i += 1) await clock.advance(10);
  assert.deepEqual(
    health.suspicions.map((s) => [s.id, s.isSilent]),
    [['one', true]],
  );
  for (let i = 0; i < 100; i += 1) await clock.advance(10);
  assert.deepEqual(health.suspicions, []);
  assert.equal(health.isAvoided(upstreamOf('one')), false);
});

test('a report that names a stage which the request does not wait for ends no attempt', async () => {
  const clock = HeldClock.create();
  const client = new PausingUpstreams(clock, eventCount, pauseOfBoth(120, 700));
  const blocked = { kind: 'blocked', address: 'two:1' } as const;
  client.probe = () => Promise.resolve(blocked);
  const view = viewOf(clock, [upstreamOf('one'), upstreamOf('two')]);
  const { relay } = relayOf({ clock, client, view, slack: 0 });
  const caller = new FakeCaller();
  const route = routeOf('resumable-stream', { timeoutMs: 20_000 });
  void relay.serve(callOf('resumable-stream', { route, startedAt: 0 }), caller);
  for (let i = 0; i < 300; i += 1) await clock.advance(10);
  assert.equal(caller.received, whole);
});

test('a request is refused as not run where a silent upstream says in the end that it did not run it', async () => {
  for (const end of [
    ok(responseOf(503, [], true)),
    err({ kind: 'unreachable', detail: 'connect timeout', isGone: false } as const),
  ]) {
    const clock = HeldClock.create();
    const client = new PausingUpstreams(clock, eventCount, pauseOfBoth(0, 900));
    const { send } = client;
    client.send = (...args) => send.apply(client, args).then(() => end);
    const view = viewOf(clock, [upstreamOf('one')]);
    const { relay } = relayOf({ clock, client, view, slack: 0 });
    const caller = new FakeCaller();
    const route = routeOf('resumable-stream', { timeoutMs: 20_000 });
    void relay.serve(callOf('resumable-stream', { route, startedAt: 0 }), caller);
    for (let i = 0; i < 300; i += 1) await clock.advance(10);
    assert.equal(caller.received, 'not-run');
  }
});

test('a caller that reads slowly makes no upstream silent', async () => {
  const pending: (() => void)[] = [];
  class SlowCaller extends FakeCaller {
    override write(bytes: Uint8Array): Promise<void> {
      void super.write(bytes);
      return new Promise((resolve) => {
        pending.push(resolve);
      });
    }
  }
  const clock = HeldClock.create();
  const client = new PausingUpstreams(clock, 3, new Map());
  client.probe = () => Promise.resolve({ kind: 'silent', detail: 'no answer in time' });
  const view = viewOf(clock, [upstreamOf('one'), upstreamOf('two')]);
  const { relay, health } = relayOf({ clock, client, view });
  const caller = new SlowCaller();
  const route = routeOf('resumable-stream', { timeoutMs: 20_000 });
  void relay.serve(callOf('resumable-stream', { route, startedAt: 0 }), caller);
  for (let i = 0; i < 3; i += 1) {
    for (let j = 0; j < 300; j += 1) await clock.advance(10);
    pending.shift()?.();
  }
  await clock.advance(100);
  assert.equal(caller.received, `200 ${events(0, 2)} ended`);
  assert.equal(client.sent.length, 1);
  assert.deepEqual(health.suspicions, []);
});

const crash: Script = { kind: 'cut', chunks: [] };

/** Breaks an attempt at one of two upstreams whose first `silent` probes have no answer. */
async function breakThenProbe(silent: number, then: 'waiting' | 'gone') {
  const clock = HeldClock.create();
  const answer: Script = { kind: 'answer', status: 200, chunks: [events(0, 3)] };
  const client = new FakeClient([crash, answer]);
  let probes = 0;
  client.probe = async () => {
    probes += 1;
    if (probes > silent) return { kind: then, detail: 'refused' };
    await clock.sleep(500);
    return { kind: 'silent', detail: 'no answer in time' };
  };
  const view = viewOf(clock, [upstreamOf('one'), upstreamOf('two')]);
  const { relay, crashes } = relayOf({ clock, client, view });
  void relay.serve(callOf('resumable-stream', { startedAt: 0 }), new FakeCaller());
  for (let i = 0; i < 500; i += 1) await clock.advance(10);
  return crashes;
}

test('an upstream that is silent after a connection broke is no crash, unless it has ended', async () => {
  assert.equal((await breakThenProbe(2, 'waiting')).length, 0);
  assert.equal((await breakThenProbe(99, 'waiting')).length, 0);
  const [reported] = await breakThenProbe(2, 'gone');
  assert.ok(reported && reported.ageMs >= 1000, 'the crash is as old as the break');
});

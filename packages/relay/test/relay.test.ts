import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SystemClock } from '@tanagercart/base';
import type { CallKind } from '@tanagercart/config';
import type { UpstreamRecord } from '@tanagercart/protocol';
import { fingerprintOf } from '../src/index.js';
import type { Call } from '../src/index.js';
import {
  FakeCaller,
  FakeClient,
  callOf,
  events,
  relayOf,
  routeOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';
import type { Script } from './fixtures.js';

const pair = [upstreamOf('one'), upstreamOf('two')];

function relayFor(
  client: FakeClient,
  upstreams: readonly UpstreamRecord[],
  slack = 100,
  quarantined: readonly string[] = [],
) {
  const clock = SystemClock.create();
  const view = viewOf(clock, upstreams);
  return { clock, ...relayOf({ clock, client, view, slack, quarantined }) };
}

async function serve(kind: CallKind, scripts: Script[], change: Partial<Call> = {}, slack = 100) {
  const client = new FakeClient(scripts);
  const { relay, loads, clock } = relayFor(client, pair, slack);
  const caller = new FakeCaller();
  await relay.serve(callOf(kind, { startedAt: clock.now(), ...change }), caller);
  assert.deepEqual(loads.all, [], 'no load is left');
  return { got: caller.got, caller, sent: client.sent };
}

const good: Script = { kind: 'answer', status: 200, chunks: ['figs'] };

test('an answer is passed on whole', async () => {
  const { got, sent } = await serve('idempotent', [good]);
  assert.equal(got, '200 figs ended');
  assert.equal(sent.length, 1);
});

test('an idempotent request is tried elsewhere after any failure', async () => {
  const failures: Script[] = [
    { kind: 'broken' },
    { kind: 'cut', chunks: ['fi'] },
    { kind: 'answer', status: 500, chunks: ['no'] },
  ];
  for (const failure of failures) {
    const { got, sent } = await serve('idempotent', [failure, good]);
    assert.equal(got, '200 figs ended', failure.kind);
    assert.notEqual(sent[0]!.upstream.id, sent[1]!.upstream.id);
  }
});

test('a request that may run once is not sent again once it may have run', async () => {
  const { got, sent } = await serve('non-idempotent', [{ kind: 'broken' }, good]);
  assert.equal(got, 'unknown');
  assert.equal(sent.length, 1);
});

test('a request that may run once is sent again where it surely has not run', async () => {
  for (const kind of ['unreachable', 'not-run'] as const) {
    const { got } = await serve('non-idempotent', [{ kind }, good]);
    assert.equal(got, '200 figs ended', kind);
  }
});

test('a refusal that says not run is given only where nothing ran', async () => {
  const refused: Script[] = [{ kind: 'not-run' }, { kind: 'not-run' }];
  assert.equal((await serve('non-idempotent', refused)).got, 'not-run');
  const ran: Script[] = [{ kind: 'broken' }, { kind: 'not-run' }];
  assert.equal((await serve('idempotent', ran)).got, 'unknown');
});

test('a failure of an upstream is passed on where nothing better came', async () => {
  const failed: Script = { kind: 'answer', status: 500, chunks: ['no'] };
  assert.equal((await serve('idempotent', [failed, failed])).got, '500 no ended');
  assert.equal((await serve('non-idempotent', [failed])).got, '500 no ended');
});

test('an exhausted budget allows no repeat', async () => {
  const { got, sent } = await serve('idempotent', [{ kind: 'broken' }, good], {}, 0);
  assert.equal(got, 'unknown');
  assert.equal(sent.length, 1);
});

test('a request without an answer gets one at its deadline', async () => {
  const route = routeOf('non-idempotent', { timeoutMs: 60 });
  const { got } = await serve('non-idempotent', [{ kind: 'dark' }], { route });
  assert.equal(got, 'timeout');
});

test('a silent upstream is left for another while there is time', async () => {
  const route = routeOf('idempotent', { timeoutMs: 200 });
  const { got } = await serve('idempotent', [{ kind: 'dark' }, good], { route });
  assert.equal(got, '200 figs ended');
});

test('a stream that is cut goes on at its last event', async () => {
  const scripts: Script[] = [
    { kind: 'cut', chunks: [events(0, 2), 'id: 3\nda'] },
    { kind: 'answer', status: 200, chunks: [events(3, 5)] },
  ];
  const { caller, sent } = await serve('resumable-stream', scripts);
  assert.equal(caller.body, events(0, 5));
  assert.equal(caller.ended, 'ended');
  assert.equal(sent[1]!.lastEvent, 2);
});

test('a stream that may not be resumed is broken off visibly', async () => {
  const { caller, sent } = await serve('stream', [{ kind: 'cut', chunks: [events(0, 2)] }, good]);
  assert.equal(caller.ended, 'broken');
  assert.equal(sent.length, 1);
});

test('a run that repeats events is passed on without them', async () => {
  const scripts: Script[] = [
    { kind: 'cut', chunks: [events(0, 2)] },
    { kind: 'answer', status: 200, chunks: [events(1, 4)] },
  ];
  assert.equal((await serve('resumable-stream', scripts)).caller.body, events(0, 4));
});

test('a stream that waits for a stage out of reach is tried elsewhere', async () => {
  const client = new FakeClient([
    { kind: 'dark' },
    { kind: 'answer', status: 200, chunks: [events(0, 1)] },
  ]);
  client.look = { kind: 'blocked', address: 'two:1' };
  const { relay, clock } = relayFor(client, pair);
  const caller = new FakeCaller();
  const route = routeOf('resumable-stream', { objectiveMs: 50, timeoutMs: 5000 });
  await relay.serve(callOf('resumable-stream', { route, startedAt: clock.now() }), caller);
  assert.equal(caller.body, events(0, 1));
});

test('a caller that leaves ends the work for it', async () => {
  const client = new FakeClient([{ kind: 'dark' }]);
  const { relay, loads, clock } = relayFor(client, pair);
  const caller = new FakeCaller();
  const served = relay.serve(callOf('idempotent', { startedAt: clock.now() }), caller);
  caller.leaving.abort();
  await served;
  assert.deepEqual(loads.all, []);
  assert.equal(caller.refusal, undefined);
});

test('a request that breaks its connections twice is counted, and refused once it is quarantined', async () => {
  const call = callOf('idempotent', { startedAt: 0 });
  const client = new FakeClient([{ kind: 'broken' }, { kind: 'broken' }]);
  const { relay, clock, struck } = relayFor(client, pair);
  await relay.serve({ ...call, startedAt: clock.now() }, new FakeCaller());
  assert.deepEqual(struck, [fingerprintOf(call)]);
  const later = new FakeClient([good]);
  const refusing = relayFor(later, pair, 100, [fingerprintOf(call)]);
  const caller = new FakeCaller();
  await refusing.relay.serve({ ...call, startedAt: refusing.clock.now() }, caller);
  assert.equal(caller.got, 'not-run');
  assert.equal(later.sent.length, 0);
});

test('a request that only one upstream may run waits for it to the end', async () => {
  const route = routeOf('idempotent', { maxAttempts: 1, timeoutMs: 200 });
  const { got, sent } = await serve('idempotent', [{ kind: 'dark' }, good], { route });
  assert.equal(got, 'timeout');
  assert.equal(sent.length, 1);
});

test('an answer that told a failure is passed on rather than replaced', async () => {
  const failed: Script = { kind: 'answer', status: 500, chunks: ['no'] };
  const scripts: Script[] = [failed, { kind: 'not-run' }, { kind: 'not-run' }];
  assert.equal((await serve('idempotent', scripts)).got, '500 no ended');
});

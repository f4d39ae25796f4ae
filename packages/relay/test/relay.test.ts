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

async function serve(
  kind: CallKind,
  scripts: Script[],
  overrides: Partial<Call> = {},
  slack = 100,
) {
  const client = new FakeClient(scripts);
  const { relay, loads, clock } = relayFor(client, pair, slack);
  const caller = new FakeCaller();
  await relay.serve(callOf(kind, { startedAt: clock.now(), ...overrides }), caller);
  assert.deepEqual(loads.all, [], 'the load of the request is released');
  return { received: caller.received, caller, sent: client.sent };
}

const success: Script = { kind: 'answer', status: 200, chunks: ['figs'] };

test('a response is forwarded completely', async () => {
  const { received, sent } = await serve('idempotent', [success]);
  assert.equal(received, '200 figs ended');
  assert.equal(sent.length, 1);
});

test('an idempotent request is retried at another upstream after any failure', async () => {
  const failures: Script[] = [
    { kind: 'broken' },
    { kind: 'cut', chunks: ['fi'] },
    { kind: 'answer', status: 500, chunks: ['no'] },
  ];
  for (const failure of failures) {
    const { received, sent } = await serve('idempotent', [failure, success]);
    assert.equal(received, '200 figs ended', failure.kind);
    assert.notEqual(sent[0]!.upstream.id, sent[1]!.upstream.id);
  }
});

test('a non-idempotent request is not retried once it may have run', async () => {
  const { received, sent } = await serve('non-idempotent', [{ kind: 'broken' }, success]);
  assert.equal(received, 'unknown');
  assert.equal(sent.length, 1);
});

test('a non-idempotent request is retried where it cannot have run', async () => {
  for (const kind of ['unreachable', 'not-run'] as const) {
    const { received } = await serve('non-idempotent', [{ kind }, success]);
    assert.equal(received, '200 figs ended', kind);
  }
});

test('a request is refused as not run only if no upstream can have run it', async () => {
  const refused: Script[] = [{ kind: 'not-run' }, { kind: 'not-run' }];
  assert.equal((await serve('non-idempotent', refused)).received, 'not-run');
  const ran: Script[] = [{ kind: 'broken' }, { kind: 'not-run' }];
  assert.equal((await serve('idempotent', ran)).received, 'unknown');
});

test('an error response is forwarded if no attempt succeeds', async () => {
  const failed: Script = { kind: 'answer', status: 500, chunks: ['no'] };
  assert.equal((await serve('idempotent', [failed, failed])).received, '500 no ended');
  assert.equal((await serve('non-idempotent', [failed])).received, '500 no ended');
});

test('an exhausted retry budget allows no retry', async () => {
  const { received, sent } = await serve('idempotent', [{ kind: 'broken' }, success], {}, 0);
  assert.equal(received, 'unknown');
  assert.equal(sent.length, 1);
});

test('a request without a response times out at its deadline', async () => {
  const route = routeOf('non-idempotent', { timeoutMs: 60 });
  const { received } = await serve('non-idempotent', [{ kind: 'hang' }], { route });
  assert.equal(received, 'timeout');
});

test('a silent attempt is abandoned for another upstream before the deadline', async () => {
  const route = routeOf('idempotent', { timeoutMs: 200 });
  const { received } = await serve('idempotent', [{ kind: 'hang' }, success], { route });
  assert.equal(received, '200 figs ended');
});

test('a stream that breaks off is resumed after its last event', async () => {
  const scripts: Script[] = [
    { kind: 'cut', chunks: [events(0, 2), 'id: 3\nda'] },
    { kind: 'answer', status: 200, chunks: [events(3, 5)] },
  ];
  const { caller, sent } = await serve('resumable-stream', scripts);
  assert.equal(caller.body, events(0, 5));
  assert.equal(caller.ended, 'ended');
  assert.equal(sent[1]!.lastEvent, 2);
});

test('a stream that cannot be resumed is aborted, so that it does not look complete', async () => {
  const { caller, sent } = await serve('stream', [
    { kind: 'cut', chunks: [events(0, 2)] },
    success,
  ]);
  assert.equal(caller.ended, 'broken');
  assert.equal(sent.length, 1);
});

test('events that a resumed stream repeats are not forwarded again', async () => {
  const scripts: Script[] = [
    { kind: 'cut', chunks: [events(0, 2)] },
    { kind: 'answer', status: 200, chunks: [events(1, 4)] },
  ];
  assert.equal((await serve('resumable-stream', scripts)).caller.body, events(0, 4));
});

test('a stream blocked by an unreachable stage is retried', async () => {
  const client = new FakeClient([
    { kind: 'hang' },
    { kind: 'answer', status: 200, chunks: [events(0, 1)] },
  ]);
  client.probeResult = { kind: 'blocked', address: 'two:1' };
  const { relay, clock } = relayFor(client, pair);
  const caller = new FakeCaller();
  const route = routeOf('resumable-stream', { latencyTargetMs: 50, timeoutMs: 5000 });
  await relay.serve(callOf('resumable-stream', { route, startedAt: clock.now() }), caller);
  assert.equal(caller.body, events(0, 1));
});

test('a request is cancelled when its caller disconnects', async () => {
  const client = new FakeClient([{ kind: 'hang' }]);
  const { relay, loads, clock } = relayFor(client, pair);
  const caller = new FakeCaller();
  const served = relay.serve(callOf('idempotent', { startedAt: clock.now() }), caller);
  caller.connection.abort();
  await served;
  assert.deepEqual(loads.all, []);
  assert.equal(caller.refusal, undefined);
});

test('each request under which an upstream goes down is reported, and refused once quarantined', async () => {
  const call = callOf('idempotent', { startedAt: 0 });
  const client = new FakeClient([{ kind: 'broken' }, { kind: 'broken' }]);
  client.probeResult = { kind: 'gone', detail: 'refused' };
  const { relay, clock, crashes } = relayFor(client, pair);
  await relay.serve({ ...call, startedAt: clock.now() }, new FakeCaller());
  const reported = crashes.map((c) => c.request);
  assert.deepEqual(reported, [fingerprintOf(call), fingerprintOf(call)]);
  const later = new FakeClient([success]);
  const refusing = relayFor(later, pair, 100, [fingerprintOf(call)]);
  const caller = new FakeCaller();
  await refusing.relay.serve({ ...call, startedAt: refusing.clock.now() }, caller);
  assert.equal(caller.received, 'not-run');
  assert.equal(later.sent.length, 0);
});

test('an attempt whose link broke is resumed, and its upstream is not held to have failed', async () => {
  const client = new FakeClient([{ kind: 'hang' }, { ...success, chunks: [events(1, 3)] }]);
  client.probeResult = { kind: 'cut-off' };
  const route = routeOf('resumable-stream', { maxAttempts: 1 });
  const { relay, clock, health } = relayFor(client, [upstreamOf('u1')]);
  const caller = new FakeCaller();
  const served = relay.serve(callOf('resumable-stream', { route, startedAt: clock.now() }), caller);
  await served;
  assert.match(caller.received, /^200 .* ended$/s);
  assert.deepEqual(health.suspicions, []);
});

test('a request limited to one upstream waits for it until the deadline', async () => {
  const route = routeOf('idempotent', { maxAttempts: 1, timeoutMs: 200 });
  const { received, sent } = await serve('idempotent', [{ kind: 'hang' }, success], { route });
  assert.equal(received, 'timeout');
  assert.equal(sent.length, 1);
});

test('an error response is forwarded rather than a refusal of later attempts', async () => {
  const failed: Script = { kind: 'answer', status: 500, chunks: ['no'] };
  const scripts: Script[] = [failed, { kind: 'not-run' }, { kind: 'not-run' }];
  assert.equal((await serve('idempotent', scripts)).received, '500 no ended');
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock } from '@tanagercart/base';
import type { UpstreamRecord } from '@tanagercart/protocol';
import type { Attempt, Call } from '../src/index.js';
import {
  FakeCaller,
  FakeClient,
  bulletinOf,
  callOf,
  relayOf,
  routeOf,
  upstreamOf,
  viewOf,
} from './fixtures.js';
import type { Script } from './fixtures.js';

const upstreams = ['one', 'two', 'three'].map((id) => upstreamOf(id));

/** A client whose first attempt crosses the end of a kept connection, before which `changes` run. */
class CrossingClient extends FakeClient {
  readonly changes: ((upstream: UpstreamRecord) => void)[] = [];

  constructor(second: Script = { kind: 'answer', status: 200, chunks: ['figs'] }) {
    super([{ kind: 'crossed' }, second]);
  }

  override send(call: Call, attempt: Attempt, stop: AbortSignal) {
    this.changes.shift()?.(attempt.upstream);
    return super.send(call, attempt, stop);
  }
}

function start(slack = 100, second?: Script) {
  const clock = HeldClock.create();
  const client = new CrossingClient(second);
  const view = viewOf(clock, upstreams);
  const parts = relayOf({ clock, client, view, slack });
  const serve = async (maxAttempts = 2) => {
    const caller = new FakeCaller();
    const route = routeOf('idempotent', { maxAttempts });
    await parts.relay.serve(callOf('idempotent', { startedAt: clock.now(), route }), caller);
    return { received: caller.received, ids: client.sent.map((a) => a.upstream.id) };
  };
  return { ...parts, client, view, clock, serve };
}

test('a request that crosses the end of a connection is no failure of its upstream, which gets it again', async () => {
  const { client, health, serve } = start();
  const { received, ids } = await serve(1);
  assert.equal(received, '200 figs ended');
  assert.equal(ids[0], ids[1]);
  assert.deepEqual(
    client.sent.map((a) => a.needsNewConnection),
    [false, true],
  );
  assert.ok(!health.isAvoided(client.sent[0]!.upstream));
});

// Guards against requests that reach an upstream after its draining was acknowledged.
test('a request is not sent again to an upstream that began to drain in the meantime', async () => {
  const { client, view, clock, serve } = start();
  client.changes.push((upstream) => {
    const update = {
      kind: 'update',
      index: 2,
      whole: false,
      upstreams: [{ ...upstream, phase: 'draining' }],
      document: undefined,
      quarantined: undefined,
      bulletin: bulletinOf(),
    } as const;
    view.apply(update, clock.now(), { loads: [], documentVersion: 0 });
  });
  const { received, ids } = await serve();
  assert.equal(received, '200 figs ended');
  assert.notEqual(ids[0], ids[1]);
});

test('a request is not sent again where the retry budget is used up', async () => {
  const { serve } = start(0);
  const { received, ids } = await serve();
  assert.equal(received, 'unknown');
  assert.equal(ids.length, 1);
});

test('a request that may have crossed may also have run where its second sending has not', async () => {
  for (const second of ['unreachable', 'not-run'] as const) {
    const { serve } = start(100, { kind: second });
    const { received, ids } = await serve(1);
    assert.equal(received, 'unknown', second);
    assert.equal(new Set(ids).size, 1);
  }
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock } from '@tanagercart/base';
import { FakeCaller, FakeClient, callOf, events, relayOf, upstreamOf, viewOf } from './fixtures.js';
import type { RelayParts, Script } from './fixtures.js';

const parts = ['aa', 'bb'].map((id) => `part desk ${id}`);

/** Serves requests with two shared parts, one after the other, each with its own attempts. */
async function serveAll(
  requests: readonly Script[][],
  options: Partial<RelayParts> & { readonly isDown?: boolean } = {},
) {
  const clock = HeldClock.create();
  const view = viewOf(
    clock,
    ['u1', 'u2', 'u3', 'u4'].map((id) => upstreamOf(id)),
  );
  const client = new FakeClient(requests.flat());
  client.probeResult =
    options.isDown === false ? { kind: 'waiting' } : { kind: 'gone', detail: 'refused' };
  const fixture = relayOf({ clock, client, view, ...options });
  const received: string[] = [];
  for (let i = 0; i < requests.length; i += 1) {
    const caller = new FakeCaller();
    const call = callOf('resumable-stream', { sharedParts: ['aa', 'bb'], startedAt: clock.now() });
    const served = fixture.relay.serve(call, caller);
    await clock.advance(100);
    await served;
    received.push(caller.received);
  }
  return { ...fixture, client, received };
}

const answer: Script = { kind: 'answer', status: 200, chunks: [events(1, 3)] };
const crash: Script = { kind: 'cut', chunks: [] };

test('a crash before the answer is reported with all shared parts of the prompt', async () => {
  const { crashes, received } = await serveAll([[crash, answer]]);
  assert.deepEqual(
    crashes.map((c) => [c.parts, c.answered]),
    [[parts, []]],
  );
  assert.match(received[0]!, /^200 .* ended$/s);
});

test('parts that were answered since the last crash are reported as such', async () => {
  const { crashes } = await serveAll([[answer], [crash, crash]]);
  assert.deepEqual(
    crashes.map((c) => c.answered),
    [parts, []],
  );
});

test('a broken answer of an upstream that is still up strikes no part', async () => {
  const { crashes } = await serveAll([[crash, answer]], { isDown: false });
  assert.deepEqual(crashes, []);
});

test('a stream that breaks off midway strikes its request, and no part', async () => {
  const { crashes } = await serveAll([[{ kind: 'cut', chunks: [events(1, 3)] }, answer]]);
  assert.deepEqual(
    crashes.map((c) => [c.request !== undefined, c.hadBegun, c.parts, c.answered]),
    [[true, true, [], []]],
  );
});

test('a request with a suspected part does not crash a second upstream', async () => {
  const { client, received } = await serveAll([[crash, crash]], { suspected: [parts[1]!] });
  assert.equal(client.sent.length, 1);
  assert.deepEqual(received, ['unknown']);
});

test('a sound request next to a crash is retried, though its parts are suspected', async () => {
  const { received } = await serveAll([[answer], [crash, answer]], { suspected: parts });
  assert.match(received[1]!, /^200 .* ended$/s);
});

test('an answer to a suspected part is reported', async () => {
  const { answered } = await serveAll([[answer]], { suspected: [parts[0]!] });
  assert.deepEqual(answered, [parts[0]]);
});

test('a request with a quarantined part reaches no upstream', async () => {
  const { client, received } = await serveAll([[answer]], { quarantined: [parts[1]!] });
  assert.equal(client.sent.length, 0);
  assert.deepEqual(received, ['not-run']);
});

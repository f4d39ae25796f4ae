import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ok } from 'neverthrow';
import { HeldClock } from '@tanagercart/base';
import type { CallKind } from '@tanagercart/config';
import type { UpstreamClient } from '../src/index.js';
import { FakeCaller, callOf, noticesOf, relayOf, upstreamOf, viewOf } from './fixtures.js';

const chunk = Buffer.alloc(64 * 1024, 'x');

/** Far more than an entry may hold for one request; the body ends then, so that the test does. */
const endlessBytes = 256 * 1024 * 1024;

/** An upstream whose response body has no end; `read` counts the bytes that were taken from it. */
function endlessClient(status: number) {
  const state = { read: 0, closed: 0 };
  async function* body(): AsyncGenerator<Uint8Array> {
    try {
      while (state.read < endlessBytes) {
        state.read += chunk.length;
        yield chunk;
      }
    } finally {
      state.closed += 1;
    }
  }
  const client: UpstreamClient = {
    probe: () => Promise.resolve({ kind: 'waiting' }),
    send: async () =>
      ok({
        head: { status, reason: '', headers: [], closeDelimited: true },
        culprit: undefined,
        notices: noticesOf(),
        body: body(),
      }),
  };
  return { client, state };
}

async function serveEndless(kind: CallKind, status: number) {
  const clock = HeldClock.create();
  const { client, state } = endlessClient(status);
  const view = viewOf(clock, [upstreamOf('u1')]);
  const { relay } = relayOf({ clock, client, view });
  const caller = new FakeCaller();
  await relay.serve(callOf(kind, { startedAt: clock.now() }), caller);
  return { state, received: caller.received };
}

test('a response body without end is cut off before it fills the memory', async () => {
  for (const status of [200, 500]) {
    const { state, received } = await serveEndless('non-idempotent', status);
    assert.ok(state.read < 16 * 1024 * 1024, `${state.read} bytes were read`);
    assert.equal(state.closed, 1);
    assert.equal(received, 'unknown');
  }
});

test('an event without end is cut off before it fills the memory', async () => {
  const { state, received } = await serveEndless('stream', 200);
  assert.ok(state.read < 16 * 1024 * 1024, `${state.read} bytes were read`);
  assert.equal(state.closed, 1);
  assert.equal(received, 'unknown');
});

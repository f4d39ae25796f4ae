import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { ok } from 'neverthrow';
import { HeldClock, StatsdMetrics, UpstreamId } from '@tanagercart/base';
import { Intake } from '../src/index.js';
import type { UpstreamClient } from '../src/index.js';
import { FakeCaller, callOf, noticesOf, relayOf, upstreamOf, viewOf } from './fixtures.js';

const [runaway, sound] = [UpstreamId('runaway'), UpstreamId('sound')];

/** Opens a holding that adds `name` to `ended` when it gives way. */
function opener(intake: Intake) {
  const ended: string[] = [];
  const open = (name: string, source: UpstreamId) => intake.open(source, () => ended.push(name));
  return { ended, open };
}

test('what is held most at the upstream that sends most gives way, not what comes last', () => {
  const intake = Intake.create(100);
  const { ended, open } = opener(intake);
  const large = open('large', sound);
  const [a, b, small] = [open('a', runaway), open('b', runaway), open('small', sound)];
  large.record(40);
  a.record(25);
  b.record(30);
  assert.deepEqual(ended, []);
  small.record(10);
  assert.deepEqual(ended, ['b']);
  assert.equal(intake.held, 75);
});

test('attempts hold no more than the bound together, whatever they receive', () => {
  const step = fc.tuple(fc.nat(9), fc.nat(60), fc.boolean());
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const intake = Intake.create(100);
      const { open } = opener(intake);
      const holdings = Array.from({ length: 10 }, (_, i) => open(`${i}`, i < 5 ? runaway : sound));
      for (const [i, bytes, closes] of steps) {
        holdings[i]!.record(bytes);
        if (closes) intake.close(holdings[i]!);
        assert.ok(intake.held >= 0 && intake.held <= 100);
      }
      for (const holding of holdings) intake.close(holding);
      assert.equal(intake.held, 0);
    }),
  );
});

const part = Buffer.alloc(1000, 'x');

/** The answer of an upstream with five parts, as the caller receives it. */
const fiveParts = `200 ${'x'.repeat(5000)} ended`;

/** A client whose answers have a status and a body of parts; `taken` counts those that were read. */
function clientOf(status: number, parts: (attempt: number) => number) {
  const state = { attempts: 0, taken: 0 };
  async function* body(count: number, stop: AbortSignal): AsyncGenerator<Uint8Array> {
    for (let i = 0; i < count; i += 1) {
      if (stop.aborted) throw new Error('aborted');
      state.taken += 1;
      yield part;
    }
  }
  const client: UpstreamClient = {
    probe: () => Promise.resolve({ kind: 'waiting' }),
    send: async (_call, _attempt, stop) => {
      state.attempts += 1;
      return ok({
        head: { status, reason: '', headers: [], closeDelimited: true },
        culprit: undefined,
        notices: noticesOf(),
        body: body(parts(state.attempts), stop),
      });
    },
  };
  return { client, state };
}

async function serve(client: UpstreamClient, intake: Intake) {
  const clock = HeldClock.create();
  const metrics = StatsdMetrics.create();
  const view = viewOf(clock, [upstreamOf('u1'), upstreamOf('u2')]);
  const { relay, crashes } = relayOf({ clock, client, view, intake, metrics });
  const caller = new FakeCaller();
  await relay.serve(callOf('idempotent', { startedAt: clock.now() }), caller);
  return { caller, metrics, crashes };
}

test('an attempt that gives way fails, is counted, and another one serves the caller', async () => {
  const intake = Intake.create(10_000);
  const { client, state } = clientOf(200, (attempt) => (attempt === 1 ? 1000 : 5));
  const { caller, metrics, crashes } = await serve(client, intake);
  assert.equal(state.attempts, 2);
  assert.ok(state.taken < 20);
  assert.equal(metrics.read('attempt.overrun', { kind: 'memory' }), 1);
  assert.equal(metrics.read('request.delivered'), 1);
  assert.deepEqual(crashes, []);
  assert.equal(caller.received, fiveParts);
  assert.equal(intake.held, 0);
});

test('an error response is held until the request ends, and counts as long', async () => {
  const intake = Intake.create();
  const held: number[] = [];
  const { client } = clientOf(500, () => {
    held.push(intake.held);
    return 5;
  });
  await serve(client, intake);
  assert.deepEqual(held, [0, 5000]);
  assert.equal(intake.held, 0);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, RequestId, ServiceId, SuspendAwareClock } from '@tanagercart/base';
import { RetryBudget, SilenceWatch } from '../src/index.js';
import type { Silence } from '../src/index.js';
import { FakeClient, noticesOf, relayOf, upstreamOf, viewOf } from './fixtures.js';

/** A clock as the programs have it, and the one that a test moves. */
function clocks() {
  const held = HeldClock.create();
  return { held, clock: SuspendAwareClock.create(held) };
}

test('a back-off that an upstream asked for is not shortened by a step of the wall clock', async () => {
  const { held, clock } = clocks();
  const one = upstreamOf('one');
  const view = viewOf(held, [one]);
  const { availability } = relayOf({ clock, view, client: new FakeClient([]) });
  availability.record(RequestId('r'), one, noticesOf({ backOffMs: 2500 }));
  held.stepWall(6000);
  assert.ok(availability.backOffMsOf(one) >= 2500);
  await held.advance(2499);
  assert.ok(availability.backOffMsOf(one) > 0);
});

test('a stream is not taken for silent because the wall clock stepped', async () => {
  const { held, clock } = clocks();
  const silences: Silence[] = [];
  const watch = SilenceWatch.create({
    clock,
    timeouts: { firstEventMs: 2000, gapMs: 1900, probeMs: undefined },
    probe: () => Promise.resolve({ kind: 'waiting' }),
    isHeldByCaller: () => false,
    onSilent: (silence) => silences.push(silence),
    onGone: () => undefined,
  });
  for (let i = 0; i < 20; i += 1) {
    watch.recordActivity();
    held.stepWall(2400);
    await held.advance(300);
  }
  assert.deepEqual(silences, []);
  watch.end();
});

test('the retry budget is not renewed by a step of the wall clock', () => {
  const { held, clock } = clocks();
  const bounds = { ratio: 0, slack: 10, windowMs: 10_000 };
  const budget = RetryBudget.create(clock, bounds, () => 1);
  const desk = ServiceId('desk');
  let granted = 0;
  for (let i = 0; i < 40; i += 1) {
    if (budget.tryAcquire(desk)) granted += 1;
    held.stepWall(3000);
  }
  assert.ok(granted <= 10, `${granted} retries`);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { ReplyPacer } from '../src/index.js';

/** Answers calls of `callers` entries for `ms`, each anew after its reply; returns reply times. */
async function repliesWithin(
  ms: Millis,
  callers: number,
  utilization: number,
): Promise<readonly Millis[]> {
  const clock = HeldClock.create();
  const pacer = ReplyPacer.create(clock, () => utilization);
  const times: Millis[] = [];
  const call = async () => {
    while (clock.now() < ms) {
      await pacer.wait(callers, { arrivedAt: clock.now(), holdMs: 1000 }, 0);
      times.push(clock.now());
    }
  };
  for (let i = 0; i < callers; i += 1) void call();
  await clock.advance(ms);
  return times;
}

function largestBurst(times: readonly Millis[], windowMs: Millis): number {
  return Math.max(...times.map((t) => times.filter((u) => u >= t && u < t + windowMs).length));
}

test('entries that call a new leader at once are answered one after the other', async () => {
  const times = await repliesWithin(200, 68, 0);
  assert.ok(largestBurst(times, 20) <= 6, `${largestBurst(times, 20)} replies in 20 ms`);
});

test('a busy leader answers each entry once a second, an idle one more often', async () => {
  const busy = await repliesWithin(10_000, 68, 1);
  const lastSecond = (times: readonly Millis[]) => times.filter((t) => t >= 9000).length;
  assert.ok(lastSecond(busy) <= 68 * 1.05, `${lastSecond(busy)} replies`);
  assert.ok(lastSecond(busy) >= 68 * 0.95, `${lastSecond(busy)} replies`);
  assert.ok(lastSecond(await repliesWithin(10_000, 68, 0.1)) >= 68 * 5);
});

test('no reply waits until its caller has given up', async () => {
  const clock = HeldClock.create();
  const pacer = ReplyPacer.create(clock, () => 1);
  let pending = 500;
  const reply = async () => {
    await pacer.wait(10, { arrivedAt: 0, holdMs: 0 }, 0);
    pending -= 1;
  };
  for (let i = 0; i < 500; i += 1) void reply();
  // A caller waits 700 ms beyond the time for which the call may be held.
  await clock.advance(600);
  assert.equal(pending, 0);
});

test('replies that could not wait for their turn do not delay later ones', async () => {
  const clock = HeldClock.create();
  let utilization = 1;
  const pacer = ReplyPacer.create(clock, () => utilization);
  let stopped = false;
  const call = async () => {
    while (!stopped) await pacer.wait(68, { arrivedAt: clock.now(), holdMs: 0 }, 0);
  };
  for (let i = 0; i < 68; i += 1) void call();
  await clock.advance(20_000);
  utilization = 0;
  stopped = true;
  await clock.advance(1000);
  let answeredAt = Infinity;
  void pacer.wait(68, { arrivedAt: clock.now(), holdMs: 1000 }, 0).then(() => {
    answeredAt = clock.now();
  });
  const askedAt = clock.now();
  await clock.advance(2000);
  assert.ok(answeredAt - askedAt < 50, `${answeredAt - askedAt} ms`);
});

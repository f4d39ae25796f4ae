import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock } from '@tanagercart/base';
import { StallTimer } from '../src/stalltimer.js';

function createTimer() {
  const clock = HeldClock.create();
  const late: number[] = [];
  return { clock, late, timer: StallTimer.create(clock, () => late.push(clock.now())) };
}

test('a stream stalls after the timeout of its last wait, not of an earlier one', async () => {
  const { clock, late, timer } = createTimer();
  timer.arm(100);
  await clock.advance(60);
  timer.disarm();
  timer.arm(100);
  await clock.advance(200);
  assert.deepEqual(late, [160]);
});

test('a shorter timeout takes effect at once', async () => {
  const { clock, late, timer } = createTimer();
  timer.arm(1000);
  await clock.advance(10);
  timer.disarm();
  timer.arm(50);
  await clock.advance(2000);
  assert.deepEqual(late, [60]);
});

test('a disarmed or stopped timer does not fire', async () => {
  const { clock, late, timer } = createTimer();
  timer.arm(100);
  timer.disarm();
  await clock.advance(500);
  assert.deepEqual(late, []);
  timer.arm(100);
  timer.stop();
  await clock.advance(500);
  assert.deepEqual(late, []);
});

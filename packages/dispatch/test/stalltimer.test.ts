import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock } from '@tanagercart/base';
import { StallTimer } from '../src/stalltimer.js';

function watched() {
  const clock = HeldClock.create();
  const late: number[] = [];
  return { clock, late, silence: StallTimer.create(clock, () => late.push(clock.now())) };
}

test('a stream is late when the bound of its last wait has passed, not that of an earlier one', async () => {
  const { clock, late, silence } = watched();
  silence.arm(100);
  await clock.advance(60);
  silence.disarm();
  silence.arm(100);
  await clock.advance(200);
  assert.deepEqual(late, [160]);
});

test('a shorter bound counts at once', async () => {
  const { clock, late, silence } = watched();
  silence.arm(1000);
  await clock.advance(10);
  silence.disarm();
  silence.arm(50);
  await clock.advance(2000);
  assert.deepEqual(late, [60]);
});

test('nothing is late while nothing is waited for', async () => {
  const { clock, late, silence } = watched();
  silence.arm(100);
  silence.disarm();
  await clock.advance(500);
  assert.deepEqual(late, []);
  silence.arm(100);
  silence.stop();
  await clock.advance(500);
  assert.deepEqual(late, []);
});

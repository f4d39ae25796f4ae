import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, SystemClock, startTimer } from '../src/index.js';

test('sleepers wake in order of time, and not before their time', async () => {
  const clock = HeldClock.create();
  const woken: string[] = [];
  const sleeper = (name: string, ms: number) => clock.sleep(ms).then(() => woken.push(name));
  void sleeper('late', 20);
  void sleeper('soon', 10);
  await clock.advance(9);
  assert.deepEqual(woken, []);
  await clock.advance(11);
  assert.deepEqual(woken, ['soon', 'late']);
});

test('an aborted sleep resolves at once', async () => {
  const clock = HeldClock.create();
  const abort = new AbortController();
  const slept = clock.sleep(1000, abort.signal);
  abort.abort();
  await slept;
  assert.equal(clock.now(), 0);
});

test('a timer that the system fires early ends at its time', (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  let now = 0.9;
  t.mock.method(performance, 'now', () => now);
  let ended = false;
  startTimer(49.6, () => {
    ended = true;
  });
  now = 50.1;
  t.mock.timers.tick(50);
  assert.equal(ended, false, 'it is due at 50.5');
  now = 51.1;
  t.mock.timers.tick(1);
  assert.equal(ended, true);
});

test('a timer that the system fired early can be cancelled until its time', (t) => {
  t.mock.timers.enable({ apis: ['setTimeout'] });
  let now = 0;
  t.mock.method(performance, 'now', () => now);
  let ended = false;
  const cancel = startTimer(50, () => {
    ended = true;
  });
  t.mock.timers.tick(50);
  cancel();
  now = 1000;
  t.mock.timers.tick(1000);
  assert.equal(ended, false);
});

test('no sleep of the system clock ends before its time', async () => {
  const clock = SystemClock.create();
  const sleep = async (ms: number) => {
    const from = clock.now();
    await clock.sleep(ms);
    return clock.now() - from - ms;
  };
  const early: number[] = [];
  for (let i = 0; i < 20; i += 1) {
    const late = await Promise.all([1.3, 4.9, 7, 9.99].map(sleep));
    early.push(...late.filter((ms) => ms < 0));
  }
  assert.deepEqual(early, []);
});

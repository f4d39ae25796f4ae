import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock } from '../src/index.js';

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

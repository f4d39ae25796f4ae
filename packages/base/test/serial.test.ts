import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { Serial } from '../src/index.js';

test('steps run one at a time and in order, also after one that fails', async () => {
  const serial = Serial.create();
  const seen: string[] = [];
  const step = (name: string, ms: number) => async () => {
    seen.push(`${name} begins`);
    await sleep(ms);
    seen.push(`${name} ends`);
    if (name === 'b') throw new Error(name);
    return name;
  };
  const runs = [serial.run(step('a', 5)), serial.run(step('b', 1)), serial.run(step('c', 0))];
  const results = await Promise.allSettled(runs);
  assert.deepEqual(
    results.map((r) => r.status),
    ['fulfilled', 'rejected', 'fulfilled'],
  );
  assert.deepEqual(
    seen,
    ['a', 'b', 'c'].flatMap((name) => [`${name} begins`, `${name} ends`]),
  );
});

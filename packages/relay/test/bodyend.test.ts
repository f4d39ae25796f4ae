import assert from 'node:assert/strict';
import { test } from 'node:test';
import { confirmEnd } from '../src/index.js';
import type { Presence } from '../src/index.js';

// Guards against a killed process whose closed connection passes for the end of a response.
test('a response that ends with its connection is whole only if its upstream closed that and is there', async () => {
  const isWhole = async (end: 'closed' | 'reset' | 'unknown', presence: Presence) =>
    (await confirmEnd(end, () => Promise.resolve(presence))).isOk();
  assert.ok(await isWhole('closed', 'present'));
  for (const presence of ['replaced', 'gone', 'not-reached'] as const) {
    assert.ok(!(await isWhole('closed', presence)), presence);
  }
  for (const end of ['reset', 'unknown'] as const) assert.ok(!(await isWhole(end, 'present')), end);
});

test('an upstream is asked only where that decides', async () => {
  const asked = () => Promise.reject(new Error('asked'));
  assert.ok((await confirmEnd('reset', asked)).isErr());
});

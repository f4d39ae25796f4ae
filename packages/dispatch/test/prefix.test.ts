import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prefixOf } from '../src/prefix.js';
import { generation } from './fleet.js';

const of = (prompt: string, adapter?: string) => prefixOf({ ...generation('q'), prompt, adapter });

test('prompts share the blocks that they begin with', () => {
  const head = 'x'.repeat(2048);
  const [one, other] = [of(`${head}${'a'.repeat(1024)}`), of(`${head}${'b'.repeat(1024)}`)];
  assert.deepEqual(one.slice(0, 2), other.slice(0, 2));
  assert.notEqual(one[2], other[2]);
});

test('a block counts only after the same text, and for the same adapter', () => {
  const block = 'x'.repeat(1024);
  assert.notEqual(of('a'.repeat(1024) + block)[1], of('b'.repeat(1024) + block)[1]);
  assert.notEqual(of(block)[0], of(block, 'legal')[0]);
  assert.deepEqual(of('short'), []);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { prefixOf } from '../src/prefix.js';
import { generation } from './fleet.js';

const digestsOf = (prompt: string, adapter?: string) =>
  prefixOf({ ...generation('q'), prompt, adapter });

test('prompts with the same beginning share the digests of its blocks', () => {
  const head = 'x'.repeat(2048);
  const [one, other] = [
    digestsOf(`${head}${'a'.repeat(1024)}`),
    digestsOf(`${head}${'b'.repeat(1024)}`),
  ];
  assert.deepEqual(one.slice(0, 2), other.slice(0, 2));
  assert.notEqual(one[2], other[2]);
});

test('the digest of a block depends on the text before it and on the adapter', () => {
  const block = 'x'.repeat(1024);
  assert.notEqual(digestsOf('a'.repeat(1024) + block)[1], digestsOf('b'.repeat(1024) + block)[1]);
  assert.notEqual(digestsOf(block)[0], digestsOf(block, 'legal')[0]);
  assert.deepEqual(digestsOf('short'), []);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OwnerTable } from '../src/index.js';

const nodes = Array.from({ length: 20 }, (_, i) => `n${i}`);
const keys = Array.from({ length: 500 }, (_, i) => `k${i}`);

test('the standby owns a key once its owner has left, and other keys keep their owner', () => {
  const table = OwnerTable.create<string, string>(nodes);
  const left = OwnerTable.create<string, string>(nodes.filter((n) => n !== 'n7'));
  for (const key of keys) {
    const owner = table.ownerOf(key);
    assert.equal(left.ownerOf(key), owner === 'n7' ? table.standbyOf(key) : owner);
    assert.notEqual(table.standbyOf(key), owner);
  }
});

test('a table without nodes has no owners, and one with a single node no standby', () => {
  assert.equal(OwnerTable.create<string, string>([]).ownerOf('k'), undefined);
  const single = OwnerTable.create<string, string>(['n']);
  assert.deepEqual([single.ownerOf('k'), single.standbyOf('k')], ['n', undefined]);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, HeldClock, NodeId } from '@tanagercart/base';
import { EntryAdvisor, shardOf } from '../src/index.js';

const names = (n: number) => Array.from({ length: n }, (_, i) => NodeId(`n${i}`));

function guideOf(load: (node: NodeId) => number, gone: readonly NodeId[] = []) {
  const clock = HeldClock.create();
  const open = names(8).filter((n) => !gone.includes(n));
  const nodes = open.map((id) => ({ id, dataCentre: DataCentreId('north') }));
  return {
    clock,
    guide: EntryAdvisor.create({ self: NodeId('n0'), clock, nodes: () => nodes, load }),
  };
}

const caller = (i: number, currentEntry?: NodeId) => ({
  account: 'a',
  share: 1,
  name: `c${i}`,
  currentEntry,
});
const firsts = (guide: EntryAdvisor) =>
  Array.from({ length: 200 }, (_, i) => guide.recommend(caller(i)).entries[0]!);

test('an account reaches few nodes, and loses no more than one of them with a node', () => {
  const shard = shardOf('a', 0.1, names(8));
  assert.equal(shard.length, 4);
  const without = shardOf(
    'a',
    0.1,
    names(8).filter((n) => n !== shard[0]),
  );
  assert.deepEqual(without.slice(0, 3), shard.slice(1));
});

test('small changes of load move nobody', () => {
  const base = firsts(guideOf(() => 100).guide);
  const shaken = firsts(guideOf((n) => (n === 'n1' ? 105 : 99)).guide);
  assert.deepEqual(shaken, base);
});

test('a loaded node gets fewer callers, and answers live shorter', () => {
  const { guide } = guideOf((n) => (n === 'n1' ? 300 : 100));
  assert.ok(firsts(guide).filter((n) => n === 'n1').length < 10);
  assert.equal(guide.recommend(caller(1)).lifetimeMs, 5000);
});

test('a caller stays at an entry that has room, and leaves one that is gone', () => {
  const held = NodeId('n3');
  assert.equal(guideOf(() => 100).guide.recommend(caller(1, held)).entries[0], held);
  const { guide } = guideOf(() => 100, [held]);
  assert.equal(guide.recommend(caller(1, held)).entries.includes(held), false);
});

test('a loaded node moves its excess and no more', async () => {
  const { clock, guide } = guideOf((n) => (n === 'n0' ? 200 : 100));
  let moved = 0;
  for (let i = 0; i < 150; i += 1) {
    await clock.advance(10);
    const advice = guide.recommendMove(caller(i));
    if (advice) moved += 1;
    assert.equal(advice?.entries.includes(NodeId('n0')) ?? false, false);
  }
  assert.ok(moved > 10 && moved < 100, `${moved} moved`);
});

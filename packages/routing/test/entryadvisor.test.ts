import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, HeldClock, NodeId } from '@tanagercart/base';
import { EntryAdvisor, shardOf } from '../src/index.js';

const names = (n: number) => Array.from({ length: n }, (_, i) => NodeId(`n${i}`));

function advisorOf(load: (node: NodeId) => number, gone: readonly NodeId[] = []) {
  const clock = HeldClock.create();
  const open = names(8).filter((n) => !gone.includes(n));
  const nodes = open.map((id) => ({ id, dataCentre: DataCentreId('north') }));
  return {
    clock,
    advisor: EntryAdvisor.create({ self: NodeId('n0'), clock, nodes: () => nodes, load }),
  };
}

const caller = (i: number, currentEntry?: NodeId) => ({
  account: 'a',
  share: 1,
  name: `c${i}`,
  currentEntry,
});
const firstEntries = (advisor: EntryAdvisor) =>
  Array.from({ length: 200 }, (_, i) => advisor.recommend(caller(i)).entries[0]!);

test('an account uses few nodes, and the loss of a node replaces only that one', () => {
  const shard = shardOf('a', 0.1, names(8));
  assert.equal(shard.length, 4);
  const without = shardOf(
    'a',
    0.1,
    names(8).filter((n) => n !== shard[0]),
  );
  assert.deepEqual(without.slice(0, 3), shard.slice(1));
});

test('small changes of load do not move callers', () => {
  const base = firstEntries(advisorOf(() => 100).advisor);
  const changed = firstEntries(advisorOf((n) => (n === 'n1' ? 105 : 99)).advisor);
  assert.deepEqual(changed, base);
});

test('an overloaded node gets fewer callers, and recommendations have a shorter lifetime', () => {
  const { advisor } = advisorOf((n) => (n === 'n1' ? 300 : 100));
  assert.ok(firstEntries(advisor).filter((n) => n === 'n1').length < 10);
  assert.equal(advisor.recommend(caller(1)).lifetimeMs, 5000);
});

test('a caller keeps its entry unless the entry is overloaded or gone', () => {
  const current = NodeId('n3');
  assert.equal(advisorOf(() => 100).advisor.recommend(caller(1, current)).entries[0], current);
  const { advisor } = advisorOf(() => 100, [current]);
  assert.equal(advisor.recommend(caller(1, current)).entries.includes(current), false);
});

test('an overloaded node moves no more than its excess load', async () => {
  const { clock, advisor } = advisorOf((n) => (n === 'n0' ? 200 : 100));
  let moved = 0;
  for (let i = 0; i < 150; i += 1) {
    await clock.advance(10);
    const advice = advisor.recommendMove(caller(i));
    if (advice) moved += 1;
    assert.equal(advice?.entries.includes(NodeId('n0')) ?? false, false);
  }
  assert.ok(moved > 10 && moved < 100, `${moved} moved`);
});

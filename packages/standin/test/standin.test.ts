import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, flushMicrotasks } from '@tanagercart/base';
import { Holdings, Slots, WeightStore } from '../src/index.js';
import type { PlacementBody } from '../src/index.js';

const stage = { model: 'fig', versions: ['1'], adapters: [] };
const load = (name: string, fence: number): PlacementBody => ({
  fence,
  action: 'load',
  model: 'fig',
  part: { kind: 'version', name },
});
const holdings = (checksFencing: boolean) => {
  const clock = HeldClock.create();
  const store = WeightStore.create(clock, 1000, 1);
  return { clock, store, held: Holdings.create(stage, { store, checksFencing }) };
};

test('a stage refuses an old fencing number only where it checks', () => {
  for (const checks of [true, false]) {
    const { held } = holdings(checks);
    assert.equal(held.begin(load('2', 7)), undefined);
    assert.equal(held.begin(load('3', 6)) !== undefined, checks);
  }
});

test('a stage is busy until it has loaded, and longer when the store is overloaded', async () => {
  const { clock, store, held } = holdings(true);
  held.begin(load('2', 1));
  held.begin(load('3', 1));
  assert.ok(held.state.busy);
  await clock.advance(1000);
  assert.deepEqual(held.versions, ['1', '2']);
  assert.ok(held.state.busy);
  await clock.advance(1000);
  assert.deepEqual(held.state, { versions: ['1', '2', '3'], adapters: [], busy: false });
  assert.equal(store.mostLoading, 2);
});

test('a slot that comes free goes to the highest priority', async () => {
  const slots = Slots.create(1);
  const order: number[] = [];
  const run = async (priority: number) => {
    await slots.take(priority);
    order.push(priority);
  };
  for (const priority of [1, 2, 5, 2]) void run(priority);
  await flushMicrotasks();
  for (let i = 0; i < 3; i += 1) {
    slots.free();
    await flushMicrotasks();
  }
  assert.deepEqual(order, [1, 5, 2, 2]);
});

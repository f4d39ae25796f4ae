import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, settle } from '@tanagercart/base';
import { LoadedWeights, SlotQueue, FakeWeightStore } from '../src/index.js';
import type { PlacementOrder } from '../src/index.js';

const stage = { model: 'fig', versions: ['1'], adapters: [] };
const load = (name: string, fence: number): PlacementOrder => ({
  fence,
  action: 'load',
  model: 'fig',
  part: { kind: 'version', name },
});
const holdings = (checksFencing: boolean) => {
  const clock = HeldClock.create();
  const store = FakeWeightStore.create(clock, 1000, 1);
  return { clock, store, held: LoadedWeights.create(stage, { store, checksFencing }) };
};

test('a stage refuses an old fencing number only where it checks', () => {
  for (const checks of [true, false]) {
    const { held } = holdings(checks);
    assert.equal(held.acceptOrder(load('2', 7)), undefined);
    assert.equal(held.acceptOrder(load('3', 6)) !== undefined, checks);
  }
});

test('a stage is busy until it has loaded, and longer when the store is overloaded', async () => {
  const { clock, store, held } = holdings(true);
  held.acceptOrder(load('2', 1));
  held.acceptOrder(load('3', 1));
  assert.ok(held.state.busy);
  await clock.advance(1000);
  assert.deepEqual(held.versions, ['1', '2']);
  assert.ok(held.state.busy);
  await clock.advance(1000);
  assert.deepEqual(held.state, { versions: ['1', '2', '3'], adapters: [], busy: false });
  assert.equal(store.peakLoads, 2);
});

test('a slot that comes free goes to the highest priority', async () => {
  const slots = SlotQueue.create(1);
  const order: number[] = [];
  const run = async (priority: number) => {
    await slots.acquire(priority);
    order.push(priority);
  };
  for (const priority of [1, 2, 5, 2]) void run(priority);
  await settle();
  for (let i = 0; i < 3; i += 1) {
    slots.release();
    await settle();
  }
  assert.deepEqual(order, [1, 5, 2, 2]);
});

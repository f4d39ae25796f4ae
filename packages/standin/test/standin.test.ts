import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, flushMicrotasks } from '@tanagercart/base';
import { LoadedWeights, SlotQueue, FakeWeightStore } from '../src/index.js';
import type { PlacementOrder } from '../src/index.js';

const stage = { model: 'fig', versions: ['1'], adapters: [] };
const loadOrder = (name: string, fence: number): PlacementOrder => ({
  fence,
  action: 'load',
  model: 'fig',
  part: { kind: 'version', name },
});
const createWeights = (checksFencing: boolean) => {
  const clock = HeldClock.create();
  const store = FakeWeightStore.create(clock, 1000, 1);
  return { clock, store, weights: LoadedWeights.create(stage, { store, checksFencing }) };
};

test('a stage rejects an old fencing token only if it checks fencing tokens', () => {
  for (const checks of [true, false]) {
    const { weights } = createWeights(checks);
    assert.equal(weights.acceptOrder(loadOrder('2', 7)), undefined);
    assert.equal(weights.acceptOrder(loadOrder('3', 6)) !== undefined, checks);
  }
});

test('a stage is busy until its loads end, which take longer if the store is overloaded', async () => {
  const { clock, store, weights } = createWeights(true);
  weights.acceptOrder(loadOrder('2', 1));
  weights.acceptOrder(loadOrder('3', 1));
  assert.ok(weights.state.busy);
  await clock.advance(1000);
  assert.deepEqual(weights.versions, ['1', '2']);
  assert.ok(weights.state.busy);
  await clock.advance(1000);
  assert.deepEqual(weights.state, { versions: ['1', '2', '3'], adapters: [], busy: false });
  assert.equal(store.peakLoads, 2);
});

test('a released slot goes to the waiter with the highest priority', async () => {
  const slots = SlotQueue.create(1);
  const order: number[] = [];
  const run = async (priority: number) => {
    await slots.acquire(priority);
    order.push(priority);
  };
  for (const priority of [1, 2, 5, 2]) void run(priority);
  await flushMicrotasks();
  for (let i = 0; i < 3; i += 1) {
    slots.release();
    await flushMicrotasks();
  }
  assert.deepEqual(order, [1, 5, 2, 2]);
});

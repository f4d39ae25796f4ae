import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import { missingParts } from '../src/index.js';
import { createFleet, fig, loadMs, longestLeaseMs } from './fakefleet.js';

const ordersOf = (fleet: ReturnType<typeof createFleet>) =>
  fleet.allEngines().flatMap((e) => e.orders);

test('each stage loads an added version once, within the limit of concurrent loads', async () => {
  const fleet = createFleet(8, ['v1', 'v2']);
  const node = fleet.startNode('n1', 2);
  node.setLeader(true);
  const tookMs = await fleet.advanceUntil(() => fleet.allHold('v2'));
  assert.ok(fleet.allHold('v2'));
  assert.ok(tookMs <= (8 / 2) * (loadMs + 1000) + 1000, `${tookMs}`);
  assert.equal(fleet.stats.maxConcurrentLoads, 2);
  assert.equal(ordersOf(fleet).length, 8);
  node.stop();
});

test('replicas share the limit of loads, also across a change of leader', async () => {
  const fleet = createFleet(12, ['v1'], []);
  const [a, b] = [fleet.startNode('n1', 3), fleet.startNode('n2', 3)];
  a.setLeader(true);
  await fleet.clock.advance(1000);
  a.setLeader(false);
  b.setLeader(true);
  await fleet.advanceUntil(() => fleet.allHold('v1'));
  assert.ok(fleet.allHold('v1'));
  assert.equal(fleet.stats.maxConcurrentLoads, 3);
  assert.equal(ordersOf(fleet).length, 12);
  a.stop();
  b.stop();
});

test('all stages of one replica are loaded before those of the next', async () => {
  const fleet = createFleet(6, ['v1'], []);
  const node = fleet.startNode('n1', 1);
  node.setLeader(true);
  await fleet.advanceUntil(
    () => fleet.allEngines().filter((e) => e.versions.length > 0).length === 2,
  );
  const started = fleet
    .allEngines()
    .filter((e) => e.versions.length > 0)
    .map((e) => e.id);
  assert.deepEqual(started, ['u0', 'u1']);
  node.stop();
});

test('the version that the most urgent unserved requests need is loaded first', () => {
  const fleet = createFleet(4, ['v1', 'v2', 'v3'], ['v1']);
  const item = { model: fig, adapter: undefined };
  const needs = missingParts(fleet.state, [
    { ...item, version: 'v2', urgency: 2 },
    { ...item, version: 'v3', urgency: 0 },
  ]);
  assert.deepEqual(
    needs.slice(0, 4).map((n) => n.part.name),
    ['v3', 'v3', 'v3', 'v3'],
  );
});

test('an engine without fencing gets each order once across a change of leader', async () => {
  const fleet = createFleet(2, ['v1', 'v2'], ['v1'], false);
  const [a, b] = [fleet.startNode('n1'), fleet.startNode('n2')];
  fleet.allEngines().forEach((e) => {
    e.orderDelayMs = 1400;
  });
  a.setLeader(true);
  await fleet.advanceUntil(() => fleet.state.placement.issued.length > 0);
  assert.equal(ordersOf(fleet).length, 0, 'no order has arrived yet');
  a.setLeader(false);
  b.setLeader(true);
  const from = fleet.clock.now();
  await fleet.advanceUntil(() => fleet.allHold('v2'));
  await fleet.clock.advance(10_000);
  const perEngine = fleet.allEngines().map((e) => e.orders.length);
  assert.deepEqual(perEngine, [1, 1], 'each engine gets one order');
  assert.ok(fleet.clock.now() - from > longestLeaseMs);
  a.stop();
  b.stop();
});

test('a new leader sends orders at once with fencing, and after a wait without it', async () => {
  const firstOrderMs = async (checksFencing: boolean) => {
    const fleet = createFleet(2, ['v1', 'v2'], ['v1'], checksFencing);
    const node = fleet.startNode('n1');
    node.setLeader(true);
    const tookMs = await fleet.advanceUntil(() => ordersOf(fleet).length > 0);
    node.stop();
    return tookMs;
  };
  assert.ok((await firstOrderMs(true)) < 1000);
  const waited = await firstOrderMs(false);
  assert.ok(waited >= longestLeaseMs + 1500 && waited < longestLeaseMs + 2500, `${waited}`);
});

test('fencing tokens increase with each leader, and an old one is refused', async () => {
  const fleet = createFleet(2, ['v1', 'v2', 'v3'], ['v1']);
  const [a, b] = [fleet.startNode('n1'), fleet.startNode('n2')];
  a.setLeader(true);
  await fleet.advanceUntil(() => ordersOf(fleet).length === 2);
  a.setLeader(false);
  b.setLeader(true);
  await fleet.advanceUntil(() => fleet.allHold('v2') && fleet.allHold('v3'));
  for (const engine of fleet.allEngines()) {
    const [first, second] = engine.orders;
    assert.equal(engine.orders.length, 2);
    assert.ok(second!.fence > first!.fence);
    assert.equal(engine.accepts(first!), false);
  }
  a.stop();
  b.stop();
});

test('a withdrawn version is unloaded once every entry reports no use of it', async () => {
  const fleet = createFleet(2, ['v1', 'v2'], ['v1', 'v2']);
  const [node, other] = [fleet.startNode('n1'), fleet.startNode('n2')];
  const open = [{ model: fig, version: 'v1', adapter: undefined, urgency: 0 }];
  fleet.work.set('n2', { open, unserved: [] });
  node.setLeader(true);
  fleet.submitRelease(['v2']);
  await fleet.clock.advance(20_000);
  assert.ok(fleet.allHold('v1'), 'a request uses it');
  fleet.work.delete('n2');
  fleet.network.cut(NodeId('n1'), NodeId('n2'));
  await fleet.clock.advance(5000);
  assert.ok(fleet.allHold('v1'), 'an entry did not reply');
  fleet.network.heal();
  await fleet.advanceUntil(() => fleet.allEngines().every((e) => !e.versions.includes('v1')), 5000);
  assert.deepEqual(
    fleet.allEngines().map((e) => e.versions),
    [['v2'], ['v2']],
  );
  node.stop();
  other.stop();
});

test('a withdrawn version stays while an entry may still take requests for it', async () => {
  const fleet = createFleet(2, ['v1', 'v2'], ['v1', 'v2']);
  const node = fleet.startNode('n1');
  node.setLeader(true);
  await fleet.clock.advance(1000);
  fleet.submitRelease(['v2']);
  await fleet.clock.advance(longestLeaseMs);
  assert.ok(fleet.allHold('v1'));
  await fleet.clock.advance(1500);
  assert.deepEqual(
    fleet.allEngines().map((e) => e.versions),
    [['v2'], ['v2']],
  );
  node.stop();
});

test('a load that an upstream refuses is sent again after a delay', async () => {
  const fleet = createFleet(1, ['v1', 'v2'], ['v1']);
  const engine = fleet.engines.get('u0')!;
  engine.highestFence = 1_000_000;
  const node = fleet.startNode('n1');
  node.setLeader(true);
  await fleet.clock.advance(3000);
  assert.equal(fleet.state.placement.issued.length, 0);
  engine.highestFence = 0;
  await fleet.advanceUntil(() => fleet.allHold('v2'), 10_000);
  assert.ok(fleet.allHold('v2'));
  node.stop();
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import { missingParts } from '../src/index.js';
import { createFleet, fig, loadMs, longestLeaseMs } from './fakefleet.js';

const ordersOf = (f: ReturnType<typeof createFleet>) => f.all().flatMap((e) => e.orders);

test('what the release adds is loaded once on every stage, within the store rate', async () => {
  const f = createFleet(8, ['v1', 'v2']);
  const holder = f.holder('n1', 2);
  holder.lead(true);
  const tookMs = await f.until(() => f.everyHolds('v2'));
  assert.ok(f.everyHolds('v2'));
  assert.ok(tookMs <= (8 / 2) * (loadMs + 1000) + 1000, `${tookMs}`);
  assert.equal(f.stats.mostLoading, 2);
  assert.equal(ordersOf(f).length, 8);
  holder.stop();
});

test('several replicas lost at once share the store, also across a change of holder', async () => {
  const f = createFleet(12, ['v1'], []);
  const [a, b] = [f.holder('n1', 3), f.holder('n2', 3)];
  a.lead(true);
  await f.clock.advance(1000);
  a.lead(false);
  b.lead(true);
  await f.until(() => f.everyHolds('v1'));
  assert.ok(f.everyHolds('v1'));
  assert.equal(f.stats.mostLoading, 3);
  assert.equal(ordersOf(f).length, 12);
  a.stop();
  b.stop();
});

test('one replica is completed before the next is begun', async () => {
  const f = createFleet(6, ['v1'], []);
  const holder = f.holder('n1', 1);
  holder.lead(true);
  await f.until(() => f.all().filter((e) => e.versions.length > 0).length === 2);
  const given = f
    .all()
    .filter((e) => e.versions.length > 0)
    .map((e) => e.id);
  assert.deepEqual(given, ['u0', 'u1']);
  holder.stop();
});

test('what blocks the more urgent requests is loaded first', () => {
  const f = createFleet(4, ['v1', 'v2', 'v3'], ['v1']);
  const item = { model: fig, adapter: undefined };
  const needs = missingParts(f.state, [
    { ...item, version: 'v2', urgency: 2 },
    { ...item, version: 'v3', urgency: 0 },
  ]);
  assert.deepEqual(
    needs.slice(0, 4).map((n) => n.part.name),
    ['v3', 'v3', 'v3', 'v3'],
  );
});

test('an engine that ignores fencing is ordered once the old orders have ended', async () => {
  const f = createFleet(2, ['v1', 'v2'], ['v1'], false);
  const [a, b] = [f.holder('n1'), f.holder('n2')];
  f.all().forEach((e) => {
    e.lagMs = 1400;
  });
  a.lead(true);
  await f.until(() => f.state.placement.issued.length > 0);
  assert.equal(ordersOf(f).length, 0, 'the orders are on their way');
  a.lead(false);
  b.lead(true);
  const from = f.clock.now();
  await f.until(() => f.everyHolds('v2'));
  await f.clock.advance(10_000);
  const perEngine = f.all().map((e) => e.orders.length);
  assert.deepEqual(perEngine, [1, 1], 'each part is ordered once');
  assert.ok(f.clock.now() - from > longestLeaseMs);
  a.stop();
  b.stop();
});

test('a new holder orders engines that check fencing at once, others after the wait', async () => {
  const firstOrderMs = async (checks: boolean) => {
    const f = createFleet(2, ['v1', 'v2'], ['v1'], checks);
    const holder = f.holder('n1');
    holder.lead(true);
    const tookMs = await f.until(() => ordersOf(f).length > 0);
    holder.stop();
    return tookMs;
  };
  assert.ok((await firstOrderMs(true)) < 1000);
  const waited = await firstOrderMs(false);
  assert.ok(waited >= longestLeaseMs + 1500 && waited < longestLeaseMs + 2500, `${waited}`);
});

test('fencing numbers grow from holder to holder, and an old one is refused', async () => {
  const f = createFleet(2, ['v1', 'v2', 'v3'], ['v1']);
  const [a, b] = [f.holder('n1'), f.holder('n2')];
  a.lead(true);
  await f.until(() => ordersOf(f).length === 2);
  a.lead(false);
  b.lead(true);
  await f.until(() => f.everyHolds('v2') && f.everyHolds('v3'));
  for (const engine of f.all()) {
    const [first, second] = engine.orders;
    assert.equal(engine.orders.length, 2);
    assert.ok(second!.fence > first!.fence);
    assert.equal(engine.accepts(first!), false);
  }
  a.stop();
  b.stop();
});

test('a withdrawn version goes once every entry said that no work uses it', async () => {
  const f = createFleet(2, ['v1', 'v2'], ['v1', 'v2']);
  const [holder, other] = [f.holder('n1'), f.holder('n2')];
  const open = [{ model: fig, version: 'v1', adapter: undefined, urgency: 0 }];
  f.work.set('n2', { open, unserved: [] });
  holder.lead(true);
  f.offer(['v2']);
  await f.clock.advance(20_000);
  assert.ok(f.everyHolds('v1'), 'it is in use');
  f.work.delete('n2');
  f.network.cut(NodeId('n1'), NodeId('n2'));
  await f.clock.advance(5000);
  assert.ok(f.everyHolds('v1'), 'an entry did not answer');
  f.network.heal();
  await f.until(() => f.all().every((e) => !e.versions.includes('v1')), 5000);
  assert.deepEqual(
    f.all().map((e) => e.versions),
    [['v2'], ['v2']],
  );
  holder.stop();
  other.stop();
});

test('a withdrawn version stays while an entry may still take work for it', async () => {
  const f = createFleet(2, ['v1', 'v2'], ['v1', 'v2']);
  const holder = f.holder('n1');
  holder.lead(true);
  await f.clock.advance(1000);
  f.offer(['v2']);
  await f.clock.advance(longestLeaseMs);
  assert.ok(f.everyHolds('v1'));
  await f.clock.advance(1500);
  assert.deepEqual(
    f.all().map((e) => e.versions),
    [['v2'], ['v2']],
  );
  holder.stop();
});

test('a load that an upstream refuses is given again after a rest', async () => {
  const f = createFleet(1, ['v1', 'v2'], ['v1']);
  const engine = f.engines.get('u0')!;
  engine.seen = 1_000_000;
  const holder = f.holder('n1');
  holder.lead(true);
  await f.clock.advance(3000);
  assert.equal(f.state.placement.issued.length, 0);
  engine.seen = 0;
  await f.until(() => f.everyHolds('v2'), 10_000);
  assert.ok(f.everyHolds('v2'));
  holder.stop();
});

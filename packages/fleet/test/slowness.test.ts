import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DataCentreId, HeldClock, NodeId, silentLogger } from '@tanagercart/base';
import type { EntryRecord, UpstreamRecord } from '@tanagercart/protocol';
import { Liveness, SlownessMonitor } from '../src/index.js';
import { FakeUpstreams, Fleet, announcementOf, documentOf } from './fleet.js';

test('the leader of a new term does not poll all upstreams at once', async () => {
  const clock = HeldClock.create();
  const upstreams = new FakeUpstreams(clock);
  const polled: string[] = [];
  const report = (upstream: UpstreamRecord) => {
    polled.push(upstream.id);
    return upstreams.report(upstream);
  };
  const monitor = SlownessMonitor.create({ orders: { report }, clock, logger: silentLogger });
  const records = Array.from({ length: 100 }, (_, i) => announcementOf(`u${i}`));
  for (let pass = 0; pass < 20; pass += 1) {
    await clock.advance(100);
    const before = polled.length;
    monitor.poll(records);
    assert.ok(polled.length - before <= 5, `${polled.length - before} polls at once`);
  }
  assert.equal(new Set(polled).size, 100);
  for (let pass = 0; pass < 20; pass += 1) {
    await clock.advance(100);
    monitor.poll(records);
  }
  assert.equal(polled.length, 200);
});

test('each upstream is polled by one entry, also after an entry has gone', async () => {
  const fleet = await Fleet.start(72);
  const [node] = fleet.nodes.values();
  await fleet.settle(node!.submit(documentOf(3)));
  const ids = Array.from({ length: 12 }, (_, i) => `u${i}`);
  await fleet.runFor(ids, 4000);
  const names = ['e1', 'e2', 'e3'].map(NodeId);
  const views = names.map((name) => fleet.startEntry(name, { polls: true }).view);
  await fleet.runFor(ids, 4000);
  const before = fleet.upstreams.reports;
  await fleet.runFor(ids, 4000);
  const perPoll = (fleet.upstreams.reports - before) / ids.length;
  assert.ok(perPoll > 1 && perPoll < 3, `${perPoll} polls of each in two rounds`);
  for (const voter of fleet.nodes.keys()) {
    fleet.network.cut(names[0]!, voter);
    fleet.network.cut(voter, names[0]!);
  }
  await fleet.runFor(ids, 4000);
  for (const id of ids) fleet.upstreams.slow.set(announcementOf(id).id, 4);
  await fleet.runFor(ids, 4000);
  for (const id of ids) assert.equal(views[1]!.slownessOf(announcementOf(id).id), 4, id);
});

test('a leader polls itself while an entry of an earlier version polls none', () => {
  const clock = HeldClock.create();
  const liveness = Liveness.create(clock, 1000);
  const entry = {
    node: NodeId('e'),
    dataCentre: DataCentreId('n'),
    address: 'e:1',
    phase: 'ready',
  };
  const call = { loads: [], suspicions: [], since: 0, documentVersion: 0, waitMs: 0 } as const;
  const record = entry as EntryRecord;
  liveness.recordEntry(NodeId('e'), { ...call, entry: record, slow: [] });
  assert.deepEqual(liveness.slow, []);
  liveness.recordEntry(NodeId('f'), { ...call, entry: { ...record, node: NodeId('f') } });
  assert.equal(liveness.slow, undefined);
});

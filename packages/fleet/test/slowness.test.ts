import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Bell,
  DataCentreId,
  HeldClock,
  NodeId,
  createStopController,
  silentLogger,
} from '@tanagercart/base';
import { RoutingTable } from '@tanagercart/config';
import type { Configuration } from '@tanagercart/config';
import type { EntryRecord, UpstreamRecord } from '@tanagercart/protocol';
import { Liveness, SlownessMonitor, SlownessShare } from '../src/index.js';
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

/** An entry that polls its share of 218 upstreams, with a view that the test sets. */
function sharingEntry() {
  const held = HeldClock.create();
  let sleeps = 0;
  const clock = {
    now: () => held.now(),
    latest: () => held.latest(),
    wall: () => held.wall(),
    sleep: (ms: number, stop?: AbortSignal) => {
      sleeps += 1;
      return held.sleep(ms, stop);
    },
  };
  const records = Array.from({ length: 218 }, (_, i) => ({
    ...announcementOf(`u${i}`),
    layers: { from: 0, to: 4 },
  }));
  const config = JSON.parse(documentOf(1).text) as Configuration;
  const view = {
    entries: [] as readonly EntryRecord[],
    upstreams: new Map(records.map((r) => [r.id, r])),
    table: RoutingTable.create(config),
    changed: Bell.create(),
  };
  /** Times of the polls of each upstream. */
  const polls = new Map<string, number[]>();
  const report = (upstream: UpstreamRecord) => {
    polls.set(upstream.id, [...(polls.get(upstream.id) ?? []), held.now()]);
    return new FakeUpstreams(held).report(upstream);
  };
  const self = NodeId('e0');
  const share = SlownessShare.create({
    self,
    view,
    orders: { report },
    clock,
    logger: silentLogger,
  });
  const stop = createStopController();
  const setEntries = (count: number) => {
    view.entries = Array.from({ length: count }, (_, i) => ({
      node: NodeId(`e${i}`),
      dataCentre: DataCentreId('north'),
      address: `e${i}:1`,
      phase: 'ready',
    }));
    view.changed.ring();
  };
  setEntries(191);
  return { held, polls, setEntries, share, stop, sleeps: () => sleeps };
}

test('an entry of a large fleet does not wake ten times a second to poll one upstream', async () => {
  const { held, polls, share, stop, sleeps } = sharingEntry();
  const running = share.run(stop.signal);
  await held.advance(20_000);
  assert.ok(polls.size > 0 && polls.size < 6, `${polls.size} upstreams`);
  for (const times of polls.values()) {
    const gaps = times.slice(1).map((at, i) => at - times[i]!);
    assert.ok(
      gaps.every((ms) => ms >= 2000 && ms <= 2100),
      gaps.join(' '),
    );
    assert.ok(times.length >= 10, `${times.length} polls`);
  }
  assert.ok(sleeps() <= 10 * (polls.size + 1), `${sleeps()} sleeps`);
  stop.abort();
  await running;
});

test('an entry that is left alone polls all upstreams soon, but not all at once', async () => {
  const { held, polls, setEntries, share, stop } = sharingEntry();
  const running = share.run(stop.signal);
  await held.advance(5950);
  polls.clear();
  setEntries(1);
  await held.advance(2000);
  assert.equal(polls.size, 218);
  const firsts = [...polls.values()].map(([first]) => first!);
  assert.ok(Math.min(...firsts) <= 6050, `first at ${Math.min(...firsts)}`);
  for (const at of new Set(firsts)) {
    const together = firsts.filter((other) => other === at).length;
    assert.ok(together <= 11, `${together} polls at once`);
  }
  stop.abort();
  await running;
});

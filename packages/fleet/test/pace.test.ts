import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { DataCentreId, NodeId, silentLogger } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import type { EntryRecord, PaceReport, UpstreamRecord } from '@tanagercart/protocol';
import { Paces, emptyTally, openPace, limitPartOf, verdictOf } from '../src/index.js';
import type { PaceSigns, Tally } from '../src/index.js';
import { Fleet, announcementOf, documentOf } from './fleet.js';

const entry = NodeId('e0');

function entriesOf(count: number): readonly EntryRecord[] {
  return Array.from({ length: count }, (_, i) => ({
    node: NodeId(`e${i}`),
    dataCentre: DataCentreId(i % 3 === 0 ? 'north' : 'south'),
    address: `e${i}:1`,
    phase: 'ready',
  }));
}

/** A leader that knows `count` upstreams since the start of its term. */
class Leader {
  readonly paces = Paces.create(silentLogger);
  now: Millis = 0;
  upstreams: UpstreamRecord[];
  signs: PaceSigns = { isLost: () => false, slow: [], sequencesAt: () => 0 };

  constructor(count: number) {
    this.upstreams = Array.from({ length: count }, (_, i) => announcementOf(`u${i}`));
    this.observe();
  }

  observe(afterMs: Millis = 100): void {
    this.now += afterMs;
    this.paces.observe(this.upstreams, this.now, this.signs);
  }

  /** Starts the last upstream again. */
  restart(born: number): UpstreamRecord {
    const record = announcementOf('last', { born });
    this.upstreams = [...this.upstreams.filter((u) => u.id !== record.id), record];
    this.observe();
    return record;
  }

  /** Reports answers to the present step of the first pace. */
  report(change: Partial<Tally>): void {
    const [id, born, limit, step] = this.paces.rows[0]!;
    const { good, slow, failed } = { ...emptyTally, ...change };
    this.paces.record(entry, [[id, born, limit, step, good, slow, failed]], this.now);
    this.observe();
  }

  get limits(): readonly number[] {
    return this.paces.rows.map((row) => row[2]);
  }
}

test('the parts of all entries together never exceed a limit, nor fall short of it', () => {
  const [limits, counts] = [fc.integer({ min: 1, max: 300 }), fc.integer({ min: 1, max: 60 })];
  fc.assert(
    fc.property(limits, counts, fc.nat(50), fc.nat(9), (limit, count, step, turn) => {
      const entries = entriesOf(count);
      const upstream = announcementOf('u1');
      const parts = entries.map((e) =>
        limitPartOf({ limit, step, turn }, upstream, e.node, entries),
      );
      assert.equal(
        parts.reduce((a, b) => a + b, 0),
        limit,
      );
      const near = entries.flatMap((e, i) => (e.dataCentre === 'north' ? [parts[i]!] : []));
      assert.ok(Math.max(...near) === Math.max(...parts), 'the near ones come first');
    }),
  );
});

test('no entry that drains, is detached or is unknown holds a part that others need', () => {
  const entries = entriesOf(3).map((e, i): EntryRecord => {
    if (i === 0) return { ...e, phase: 'draining' };
    return i === 1 ? { ...e, isDetached: true } : e;
  });
  const partAt = (node: string) =>
    limitPartOf({ limit: 1, step: 1, turn: 0 }, announcementOf('u1'), NodeId(node), entries);
  assert.deepEqual(['e0', 'e1', 'e2', 'other'].map(partAt), [0, 0, 1, 0]);
});

test('a first request goes to another entry with each turn', () => {
  const entries = entriesOf(12);
  const holders = Array.from({ length: 30 }, (_, turn) =>
    entries.findIndex((e) =>
      limitPartOf({ limit: 1, step: 1, turn }, announcementOf('u1'), e.node, entries),
    ),
  );
  assert.ok(new Set(holders).size > 2, holders.join(' '));
});

test('the limit of a started upstream doubles with each round of good answers, and then ends', () => {
  const leader = new Leader(4);
  leader.restart(2);
  const limits: number[] = [];
  for (; leader.paces.rows.length > 0; leader.report({ good: 16 })) limits.push(leader.limits[0]!);
  assert.deepEqual(limits, [1, 2, 4, 8]);
});

test('a limit falls on slow, refused and failed answers, and then waits before it grows', () => {
  for (const bad of [{ slow: 1 }, { failed: 1 }]) {
    const leader = new Leader(4);
    leader.restart(2);
    leader.report({ good: 1 });
    leader.report({ good: 2 });
    leader.report({ good: 3, ...bad });
    assert.deepEqual(leader.limits, [2]);
    leader.report({ good: 2 });
    assert.deepEqual(leader.limits, [2]);
    leader.observe(500);
    assert.deepEqual(leader.limits, [4]);
  }
});

test('a repeated or late report counts no answer twice', () => {
  const leader = new Leader(4);
  leader.restart(2);
  leader.report({ good: 1 });
  const [id, born, , step] = leader.paces.rows[0]!;
  const reports: PaceReport[] = [
    [id, born, 1, step - 1, 0, 0, 9],
    [id, born, 2, step, 1, 0, 0],
    [id, born, 2, step, 1, 0, 0],
  ];
  for (const report of reports) {
    leader.paces.record(entry, [report], leader.now);
    leader.observe();
  }
  assert.deepEqual(leader.limits, [2]);
});

test('what a term begins with is in steady state, and what starts after is not', () => {
  const leader = new Leader(4);
  assert.deepEqual(leader.limits, []);
  leader.restart(2);
  assert.deepEqual(leader.limits, [1]);
});

test('an upstream that was lost is paced once it is back', () => {
  const leader = new Leader(4);
  leader.signs = { ...leader.signs, isLost: ({ id }) => id === 'u1' };
  leader.observe();
  assert.deepEqual(leader.limits, []);
  leader.signs = { ...leader.signs, isLost: () => false };
  leader.observe();
  assert.deepEqual(leader.limits, [1]);
});

test('no limit holds where most upstreams of a service start within a short time', () => {
  const leader = new Leader(2);
  for (let i = 0; i < 3; i += 1) {
    leader.upstreams.push(announcementOf(`new${i}`));
    leader.observe(1000);
  }
  assert.deepEqual(leader.limits, []);
  leader.observe(10_000);
  leader.restart(2);
  assert.deepEqual(leader.limits, [1]);
});

test('an upstream without demand, or that is only slow, does not stay in the bulletin', () => {
  const leader = new Leader(4);
  leader.restart(2);
  for (let i = 0; i < 599; i += 1) leader.observe();
  assert.deepEqual(leader.limits, [1]);
  leader.observe();
  assert.deepEqual(leader.limits, []);
});

test('the pace of an upstream that leaves ends, and a late report does not bring it back', () => {
  const leader = new Leader(4);
  leader.restart(2);
  const [id, born, limit, step] = leader.paces.rows[0]!;
  leader.upstreams = leader.upstreams.map((u) => (u.id === id ? { ...u, phase: 'draining' } : u));
  leader.observe();
  leader.paces.record(entry, [[id, born, limit, step, 1, 0, 0]], leader.now);
  leader.observe();
  assert.deepEqual(leader.limits, []);
});

test('a new leader takes the highest step, and of equal ones the lowest limit', () => {
  const leader = new Leader(4);
  const { id, born } = leader.upstreams[1]!;
  const reported = [
    [4, 3],
    [2, 5],
    [8, 5],
    [1, 2],
  ] as const;
  for (const [limit, step] of reported) {
    leader.paces.record(entry, [[id, born, limit, step, 0, 0, 0]], leader.now);
  }
  leader.observe();
  assert.deepEqual(leader.paces.rows, [[id, born, 2, 5, 0]]);
});

test('many answers to a high limit are judged by rounds of bounded length', () => {
  const pace = { ...openPace(0, 1), limit: 128 };
  assert.equal(verdictOf(pace, { ...emptyTally, good: 16 }, 0), 'grown');
  assert.equal(verdictOf(pace, { ...emptyTally, good: 16, slow: 4 }, 0), 'fell');
  assert.equal(verdictOf(pace, { ...emptyTally, good: 15, slow: 3 }, 0), undefined);
});

/** Upstreams that hold each layer often enough for another one to be paced. */
const known = Array.from({ length: 20 }, (_, i) => `known${i}`);

test('entries learn of a started upstream, and its pace outlives the leader', async () => {
  const fleet = await Fleet.start(91);
  const report: { rows: readonly PaceReport[] } = { rows: [] };
  const { view } = fleet.startEntry(NodeId('entry'), { paces: () => report.rows });
  const [node] = fleet.nodes.values();
  await fleet.settle(node!.submit(documentOf(1)));
  await fleet.runFor(known, 9000);
  assert.equal(view.paces.length, 0, 'the cold start of all is over');
  await fleet.heartbeat(['u4']);
  await fleet.waitUntil(() => view.paces.length === 1, 1000);
  const [id, born, limit, step] = view.paces[0]!;
  assert.deepEqual([id, limit], ['u4', 1]);
  report.rows = [[id, born, limit, step, 1, 0, 0]];
  await fleet.waitUntil(() => view.paces[0]![2] === 2, 1000);
  report.rows = [[id, born, 2, view.paces[0]![3], 0, 0, 0]];
  const before = [...fleet.nodes].find(([, n]) => n === fleet.leader)![0];
  fleet.kill(before);
  await fleet.waitUntil(() => fleet.leader !== undefined);
  await fleet.waitUntil(() => view.ageMs < 300);
  assert.deepEqual(
    view.paces.map((row) => [row[0], row[2]]),
    [['u4', 2]],
  );
});

// Guards against a pace that withholds a stage without which requests have no place.
test('an upstream whose work few others could take is not paced', async () => {
  const fleet = await Fleet.start(93);
  const { view } = fleet.startEntry(NodeId('entry'));
  const [node] = fleet.nodes.values();
  await fleet.settle(node!.submit(documentOf(1)));
  await fleet.runFor(['u1', 'u2', 'u3'], 9000);
  await fleet.heartbeat(['u4']);
  await fleet.clock.advance(1000);
  assert.ok(view.upstreams.size === 4 && view.paces.length === 0);
});

// Guards against an upstream that stays idle, as the entry that may use it has no callers any more.
test('a limit is dealt anew once no more answers are reported', () => {
  const leader = new Leader(5);
  leader.observe(10_000);
  leader.restart(2);
  leader.report({ good: 1 });
  leader.report({ good: 1 });
  const turn = leader.paces.rows[0]![4];
  leader.observe(1600);
  assert.equal(leader.paces.rows[0]![4], turn + 1);
});

test('failures that a detached entry reports do not hold a sound upstream down', async () => {
  const fleet = await Fleet.start(92);
  const report: { rows: readonly PaceReport[] } = { rows: [] };
  const paces = () => report.rows;
  const { view } = fleet.startEntry(NodeId('entry'), { paces, isDetached: true });
  const [node] = fleet.nodes.values();
  await fleet.settle(node!.submit(documentOf(1)));
  await fleet.runFor(known, 9000);
  await fleet.heartbeat(['u4']);
  await fleet.waitUntil(() => view.paces.length === 1, 1000);
  const [id, born, limit, step] = view.paces[0]!;
  report.rows = [[id, born, limit, step, 0, 0, 9]];
  await fleet.clock.advance(1000);
  assert.equal(view.paces[0]![3], step);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import { DiskStore, LogCluster, MemoryDisk, restoreSingleVoter } from '../src/index.js';
import type { LogClusterOptions } from '../src/index.js';

const names = ['a', 'b', 'c', 'd', 'e'].map(NodeId);

async function formed(seed: number, voters: number, options: Partial<LogClusterOptions> = {}) {
  const initial = names.slice(0, voters);
  const c = LogCluster.create({ seed, nodes: initial, initialVoters: initial, ...options });
  await c.startAll();
  assert.ok((await c.advanceUntil(() => c.leader !== undefined, 5000)) !== undefined);
  return c;
}

/** Proposes commands at the leader, whoever that is, until each is acknowledged. */
async function put(c: LogCluster, ...commands: string[]) {
  for (const command of commands) {
    const before = c.acknowledged.length;
    assert.ok((await c.advanceUntil(() => c.leader !== undefined, 10_000)) !== undefined);
    void c.propose(c.leader!, command);
    assert.ok((await c.advanceUntil(() => c.acknowledged.length > before, 5000)) !== undefined);
  }
}

async function change(c: LogCluster, action: 'add' | 'remove', node: NodeId) {
  await c.advanceUntil(() => c.leader !== undefined, 10_000);
  const done = c.raftOf(c.leader!)!.changeVoters({ action, node });
  let reply: Awaited<typeof done> | undefined;
  void done.then((r) => {
    reply = r;
  });
  await c.advanceUntil(() => reply !== undefined, 70_000);
  return reply!;
}

const many = (n: number) => Array.from({ length: n }, (_, i) => `x${i}`);
const others = (c: LogCluster) => c.running.filter((n) => n !== c.leader);

test('three voters elect one leader and apply a command everywhere', async () => {
  const c = await formed(1, 3);
  await put(c, 'x');
  await c.advance(1000);
  assert.deepEqual(
    c.running.map((n) => c.stateOf(n)),
    [['x'], ['x'], ['x']],
  );
});

test('a leader that is cut off loses its lease, and the others go on without it', async () => {
  const c = await formed(2, 3);
  const old = c.leader!;
  c.partition([old]);
  await c.advance(3000);
  assert.equal(c.raftOf(old)!.holdsLease, false);
  assert.notEqual(c.leader, undefined);
  await put(c, 'y');
  c.network.heal();
  await c.advance(3000);
  assert.deepEqual(
    c.running.map((n) => c.stateOf(n)),
    [['y'], ['y'], ['y']],
  );
});

test('a whole restart keeps every acknowledged command, by snapshot and log', async () => {
  const c = await formed(3, 3, { limits: { snapshotEveryBytes: 2000 }, segmentBytes: 1500 });
  await put(c, ...many(100));
  for (const n of names.slice(0, 3)) c.crash(n);
  await c.startAll();
  await put(c, 'last');
  await c.advance(1000);
  for (const n of c.running) assert.deepEqual(c.stateOf(n), [...many(100), 'last']);
});

test('a voter that was away for many changes catches up by a snapshot in parts', async () => {
  const limits = { snapshotEveryBytes: 2000, chunkBytes: 300 };
  const c = await formed(4, 3, { limits, segmentBytes: 1500 });
  const [away] = others(c);
  c.crash(away!);
  await put(c, ...many(300));
  await c.start(away!);
  await c.advance(3000);
  assert.deepEqual(c.stateOf(away!), many(300));
});

test('a voter cut off in silence for a minute comes back without an election', async () => {
  const c = await formed(5, 3);
  const { leader } = c;
  c.partition([others(c)[0]!]);
  await c.advance(60_000);
  const { term } = c.raftOf(leader!)!;
  c.network.heal();
  await c.advance(3000);
  assert.deepEqual([c.leader, c.raftOf(leader!)!.term], [leader, term]);
});

test('a voter whose disk comes back empty does not vote, until it is added anew', async () => {
  const c = await formed(6, 3);
  await put(c, 'x');
  const [lost, other] = others(c);
  const { leader } = c;
  c.replaceDisk(lost!);
  await c.start(lost!);
  c.crash(other!);
  await c.advance(5000);
  assert.equal(c.leader, undefined);
  await c.start(other!);
  await put(c, 'y');
  assert.equal((await change(c, 'add', lost!)).kind, 'changed');
  c.crash(leader!);
  await put(c, 'z');
  await c.advance(500);
  assert.deepEqual(c.stateOf(lost!), ['x', 'y', 'z']);
});

test('a voter whose disk is an old copy does not vote, until it is added anew', async () => {
  const c = await formed(7, 3);
  const [old, other] = others(c);
  await c.advance(500);
  const copy = c.diskOf(old!).backup();
  c.crash(other!);
  await put(c, 'x');
  c.replaceDisk(old!, copy);
  c.crash(c.leader!);
  await c.start(old!);
  await c.start(other!);
  await c.advance(10_000);
  assert.equal(c.leader, undefined);
  await c.startAll();
  await put(c, 'y');
  assert.equal((await change(c, 'add', old!)).kind, 'changed');
  assert.deepEqual(c.applied.size, 2);
});

for (const fault of ['full', 'failing'] as const) {
  test(`a leader whose disk is ${fault} gives way, and its process goes on`, async () => {
    const c = await formed(8, 3);
    const old = c.leader!;
    c.diskOf(old).fault = fault;
    void c.propose(old, 'lost');
    await c.advance(200);
    assert.equal(c.raftOf(old)!.diskFailed, true);
    await put(c, 'x');
    assert.notEqual(c.leader, old);
    assert.ok(c.running.includes(old));
  });
}

test('a learner becomes a voter once it has caught up, and the dead voter goes', async () => {
  const c = await formed(9, 3, { nodes: names });
  await put(c, ...many(50));
  const [dead] = others(c).filter((n) => names.indexOf(n) < 3);
  c.crash(dead!);
  assert.equal((await change(c, 'add', names[3]!)).kind, 'changed');
  assert.equal((await change(c, 'remove', dead!)).kind, 'changed');
  const ids = c.raftOf(c.leader!)!.voterConfig.voters.map((m) => m.id);
  assert.equal(ids.length, 3);
  assert.ok(ids.includes(names[3]!) && !ids.includes(dead!));
  assert.deepEqual(c.stateOf(names[3]!), many(50));
});

test('removing the leader hands leadership over, and the next leader removes it', async () => {
  const c = await formed(10, 3);
  const old = c.leader!;
  assert.equal((await change(c, 'remove', old)).kind, 'not-leader');
  await put(c, 'x');
  assert.notEqual(c.leader, old);
  assert.equal((await change(c, 'remove', old)).kind, 'changed');
  await c.advance(5000);
  assert.notEqual(c.leader, undefined);
  assert.equal(c.raftOf(c.leader!)!.voterConfig.voters.length, 2);
});

test('one copied folder brings the log up again, and the others are added to it', async () => {
  const c = await formed(21, 3);
  await put(c, 'x', 'y');
  await c.advance(1000);
  const [one, ...rest] = c.running;
  const copy = c.diskOf(one!).backup();
  for (const id of rest) c.replaceDisk(id);
  c.replaceDisk(one!, copy);
  const options = { disk: c.diskOf(one!), random: c.random, logger: silentLogger };
  const store = (await DiskStore.open(options))._unsafeUnwrap();
  assert.ok((await restoreSingleVoter(store, one!)).isOk());
  await c.startAll();
  await put(c, 'z');
  for (const id of rest) assert.equal((await change(c, 'add', id)).kind, 'changed');
  await c.advance(1000);
  assert.deepEqual(
    c.running.map((n) => c.stateOf(n)),
    c.running.map(() => ['x', 'y', 'z']),
  );
  assert.equal(c.running.length, 3);
});

test('an empty folder cannot be restored', async () => {
  const random = SeededRandom.create(1);
  const options = { disk: MemoryDisk.create(), random, logger: silentLogger };
  const store = (await DiskStore.open(options))._unsafeUnwrap();
  assert.ok((await restoreSingleVoter(store, names[0]!)).isErr());
});

test('a change that would leave no live quorum is refused', async () => {
  const c = await formed(11, 3);
  const [one, two] = others(c);
  c.crash(one!);
  await c.advance(2000);
  assert.equal((await change(c, 'remove', two!)).kind, 'refused');
});

test('leadership is handed over within an election time and without losing a command', async () => {
  const c = await formed(12, 3);
  await put(c, 'x');
  const old = c.leader!;
  void c.raftOf(old)!.transferLeadership();
  const took = await c.advanceUntil(() => c.leader !== undefined && c.leader !== old, 500);
  assert.notEqual(took, undefined);
});

test('a leader whose transfer was lost does not lead on in its term', async () => {
  const c = await formed(12, 3);
  await put(c, 'x');
  const old = c.leader!;
  const { term } = c.raftOf(old)!;
  c.network.cut(old, others(c)[0]!);
  void c.raftOf(old)!.transferLeadership();
  await c.advance(5000);
  assert.ok(c.raftOf(c.leader!)!.term > term);
});

test('a log is formed only once every named voter answers', async () => {
  const c = LogCluster.create({
    seed: 13,
    nodes: names.slice(0, 3),
    initialVoters: names.slice(0, 3),
  });
  await c.start(names[0]!);
  await c.start(names[1]!);
  await c.advance(5000);
  assert.equal(c.leader, undefined);
  await c.start(names[2]!);
  await put(c, 'x');
});

test('proposals that wait for the disk share one sync', async () => {
  const c = await formed(14, 1, { syncMs: 5 });
  const disk = c.diskOf(names[0]!);
  const before = disk.syncCount;
  for (const x of many(200)) void c.propose(names[0]!, x);
  await c.advance(100);
  assert.equal(c.acknowledged.length, 200);
  assert.ok(disk.syncCount - before <= 3);
});

test('proposals over the bound of the queue are refused', async () => {
  const c = await formed(15, 1, { syncMs: 5, limits: { queueBytes: 10 } });
  const one = c.raftOf(names[0]!)!.propose(Buffer.alloc(8));
  const two = await c.raftOf(names[0]!)!.propose(Buffer.alloc(8));
  assert.equal(two._unsafeUnwrapErr().kind, 'overloaded');
  await c.advance(100);
  assert.ok((await one).isOk());
});

test('a voter that is ending does not break the leader, which goes on without it', async () => {
  const c = await formed(19, 3);
  await put(c, 'x');
  const [ending] = others(c);
  void c.raftOf(ending!)!.stop();
  await put(c, 'y');
  await c.advance(1000);
  assert.equal(c.failure, undefined);
  assert.equal(c.acknowledged.length, 2);
});

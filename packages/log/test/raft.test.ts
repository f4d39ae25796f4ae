import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId, SeededRandom, silentLogger } from '@tanagercart/base';
import type { VoterChange } from '@tanagercart/protocol';
import {
  DiskStore,
  LogCluster,
  MemoryDisk,
  defaultTiming,
  forceSingleVoter,
} from '../src/index.js';
import type { LogClusterOptions } from '../src/index.js';

const nodes = ['a', 'b', 'c', 'd', 'e'].map(NodeId);

/** Starts a simulated cluster and waits until it has a leader. */
async function startCluster(
  seed: number,
  voters: number,
  options: Partial<LogClusterOptions> = {},
) {
  const initialVoters = nodes.slice(0, voters);
  const cluster = LogCluster.create({ seed, nodes: initialVoters, initialVoters, ...options });
  await cluster.startAll();
  assert.ok(
    (await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 5000)) !== undefined,
  );
  return cluster;
}

/** Proposes commands one by one on the current leader; each must be acknowledged. */
async function proposeAll(cluster: LogCluster, ...commands: string[]) {
  for (const command of commands) {
    const before = cluster.acknowledged.length;
    assert.ok(
      (await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 10_000)) !== undefined,
    );
    void cluster.propose(cluster.leaseHolder!, command);
    assert.ok(
      (await cluster.advanceUntil(() => cluster.acknowledged.length > before, 5000)) !== undefined,
    );
  }
}

/** Carries out a change of the voter set on the leader and returns its reply. */
function changeVoters(cluster: LogCluster, action: 'add' | 'remove', node: NodeId) {
  return carryOut(cluster, { action, node });
}

async function carryOut(cluster: LogCluster, change: VoterChange) {
  await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 10_000);
  const pending = cluster.raftOf(cluster.leaseHolder!)!.changeVoters(change);
  let reply: Awaited<typeof pending> | undefined;
  void pending.then((r) => {
    reply = r;
  });
  // Longer than the 60 seconds within which a new voter has to catch up.
  await cluster.advanceUntil(() => reply !== undefined, 70_000);
  return reply!;
}

/** Commands x0, x1 and so on. */
const numbered = (n: number) => Array.from({ length: n }, (_, i) => `x${i}`);
const nonLeaders = (cluster: LogCluster) =>
  cluster.running.filter((n) => n !== cluster.leaseHolder);

test('three voters elect one leader and apply a command everywhere', async () => {
  const cluster = await startCluster(1, 3);
  await proposeAll(cluster, 'x');
  await cluster.advance(1000);
  assert.deepEqual(
    cluster.running.map((n) => cluster.stateOf(n)),
    [['x'], ['x'], ['x']],
  );
});

test('a partitioned leader loses its lease and the other voters elect a new leader', async () => {
  const cluster = await startCluster(2, 3);
  const formerLeader = cluster.leaseHolder!;
  cluster.partition([formerLeader]);
  await cluster.advance(3000);
  assert.equal(cluster.raftOf(formerLeader)!.holdsLease, false);
  assert.notEqual(cluster.leaseHolder, undefined);
  await proposeAll(cluster, 'y');
  cluster.network.heal();
  await cluster.advance(3000);
  assert.deepEqual(
    cluster.running.map((n) => cluster.stateOf(n)),
    [['y'], ['y'], ['y']],
  );
});

test('all acknowledged commands survive a crash of all voters, in snapshots and logs', async () => {
  const cluster = await startCluster(3, 3, {
    limits: { snapshotEveryBytes: 2000 },
    segmentBytes: 1500,
  });
  await proposeAll(cluster, ...numbered(100));
  for (const n of nodes.slice(0, 3)) cluster.crash(n);
  await cluster.startAll();
  await proposeAll(cluster, 'last');
  await cluster.advance(1000);
  for (const n of cluster.running) assert.deepEqual(cluster.stateOf(n), [...numbered(100), 'last']);
});

test('a voter that missed many commands catches up with a snapshot in chunks', async () => {
  const limits = { snapshotEveryBytes: 2000, chunkBytes: 300 };
  const cluster = await startCluster(4, 3, { limits, segmentBytes: 1500 });
  const [crashed] = nonLeaders(cluster);
  cluster.crash(crashed!);
  await proposeAll(cluster, ...numbered(300));
  await cluster.start(crashed!);
  await cluster.advance(3000);
  assert.deepEqual(cluster.stateOf(crashed!), numbered(300));
});

test('a voter that was partitioned for a minute returns without causing an election', async () => {
  const cluster = await startCluster(5, 3);
  const { leaseHolder: leader } = cluster;
  cluster.partition([nonLeaders(cluster)[0]!]);
  await cluster.advance(60_000);
  const { term } = cluster.raftOf(leader!)!;
  cluster.network.heal();
  await cluster.advance(3000);
  assert.deepEqual([cluster.leaseHolder, cluster.raftOf(leader!)!.term], [leader, term]);
});

test('a voter that restarts with an empty disk does not vote until it is added again', async () => {
  const cluster = await startCluster(6, 3);
  await proposeAll(cluster, 'x');
  const [replaced, other] = nonLeaders(cluster);
  const { leaseHolder: leader } = cluster;
  cluster.replaceDisk(replaced!);
  await cluster.start(replaced!);
  cluster.crash(other!);
  await cluster.advance(5000);
  assert.equal(cluster.leaseHolder, undefined);
  await cluster.start(other!);
  await proposeAll(cluster, 'y');
  assert.equal((await changeVoters(cluster, 'add', replaced!)).kind, 'changed');
  cluster.crash(leader!);
  await proposeAll(cluster, 'z');
  await cluster.advance(500);
  assert.deepEqual(cluster.stateOf(replaced!), ['x', 'y', 'z']);
});

test('a voter with an older copy of its disk does not vote until it is added again', async () => {
  const cluster = await startCluster(7, 3);
  const [replaced, other] = nonLeaders(cluster);
  await cluster.advance(500);
  const copy = cluster.diskOf(replaced!).backup();
  cluster.crash(other!);
  await proposeAll(cluster, 'x');
  cluster.replaceDisk(replaced!, copy);
  cluster.crash(cluster.leaseHolder!);
  await cluster.start(replaced!);
  await cluster.start(other!);
  await cluster.advance(10_000);
  assert.equal(cluster.leaseHolder, undefined);
  await cluster.startAll();
  await proposeAll(cluster, 'y');
  assert.equal((await changeVoters(cluster, 'add', replaced!)).kind, 'changed');
  assert.deepEqual(cluster.applied.size, 2);
});

for (const fault of ['full', 'failing'] as const) {
  test(`a leader with a ${fault} disk is replaced and its process keeps running`, async () => {
    const cluster = await startCluster(8, 3);
    const formerLeader = cluster.leaseHolder!;
    cluster.diskOf(formerLeader).fault = fault;
    void cluster.propose(formerLeader, 'lost');
    await cluster.advance(200);
    assert.equal(cluster.raftOf(formerLeader)!.diskFailed, true);
    await proposeAll(cluster, 'x');
    assert.notEqual(cluster.leaseHolder, formerLeader);
    assert.ok(cluster.running.includes(formerLeader));
  });
}

test('a learner becomes a voter after catching up, and a crashed voter is removed', async () => {
  const cluster = await startCluster(9, 3, { nodes });
  await proposeAll(cluster, ...numbered(50));
  const [crashed] = nonLeaders(cluster).filter((n) => nodes.indexOf(n) < 3);
  cluster.crash(crashed!);
  const added = await changeVoters(cluster, 'add', nodes[3]!);
  assert.equal(added.kind === 'refused' && added.reason.includes(`${crashed!} must`), true);
  const change: VoterChange = { action: 'add', node: nodes[3]!, replaces: crashed! };
  assert.equal((await carryOut(cluster, change)).kind, 'changed');
  assert.equal((await changeVoters(cluster, 'remove', crashed!)).kind, 'changed');
  const ids = cluster.raftOf(cluster.leaseHolder!)!.voterConfig.voters.map((m) => m.id);
  assert.equal(ids.length, 3);
  assert.ok(ids.includes(nodes[3]!) && !ids.includes(crashed!));
  assert.deepEqual(cluster.stateOf(nodes[3]!), numbered(50));
});

test('a voter that answers stays where another one is to replace it', async () => {
  const cluster = await startCluster(12, 3, { nodes });
  const [replaces] = nonLeaders(cluster).filter((n) => nodes.indexOf(n) < 3);
  const change: VoterChange = { action: 'add', node: nodes[3]!, replaces: replaces! };
  assert.equal((await carryOut(cluster, change)).kind, 'changed');
  assert.equal(cluster.raftOf(cluster.leaseHolder!)!.voterConfig.voters.length, 4);
});

// Guards against a newcomer that ends while its vote is committed, and takes the quorum with it.
for (const after of ['crashed just now', 'silent for long'] as const) {
  test(`a newcomer that ends as it is given its vote costs no quorum, with a voter ${after}`, async () => {
    for (let seed = 30; seed < 40; seed += 1) {
      const cluster = await startCluster(seed, 3, { nodes, syncMs: 1 });
      await proposeAll(cluster, 'x');
      const [crashed] = nonLeaders(cluster).filter((n) => nodes.indexOf(n) < 3);
      cluster.crash(crashed!);
      if (after === 'silent for long') await cluster.advance(2000);
      const leader = cluster.raftOf(cluster.leaseHolder!)!;
      const change: VoterChange = { action: 'add', node: nodes[3]!, replaces: crashed! };
      void leader.changeVoters(change);
      const isVoter = () => leader.voterConfig.voters.some((m) => m.id === nodes[3]);
      assert.ok((await cluster.advanceUntil(isVoter, 5000)) !== undefined);
      cluster.crash(nodes[3]!);
      await proposeAll(cluster, 'y');
    }
  });
}

test('removing the leader transfers leadership, and the next leader removes it', async () => {
  const cluster = await startCluster(10, 3);
  const formerLeader = cluster.leaseHolder!;
  assert.equal((await changeVoters(cluster, 'remove', formerLeader)).kind, 'not-leader');
  await proposeAll(cluster, 'x');
  assert.notEqual(cluster.leaseHolder, formerLeader);
  assert.equal((await changeVoters(cluster, 'remove', formerLeader)).kind, 'changed');
  await cluster.advance(5000);
  assert.notEqual(cluster.leaseHolder, undefined);
  assert.equal(cluster.raftOf(cluster.leaseHolder!)!.voterConfig.voters.length, 2);
});

test('a log is restored from one copied folder and the other nodes are added', async () => {
  const cluster = await startCluster(21, 3);
  await proposeAll(cluster, 'x', 'y');
  await cluster.advance(1000);
  const [restored, ...rest] = cluster.running;
  const copy = cluster.diskOf(restored!).backup();
  for (const id of rest) cluster.replaceDisk(id);
  cluster.replaceDisk(restored!, copy);
  const options = { disk: cluster.diskOf(restored!), random: cluster.random, logger: silentLogger };
  const store = (await DiskStore.open(options))._unsafeUnwrap();
  assert.ok((await forceSingleVoter(store, restored!)).isOk());
  await cluster.startAll();
  await proposeAll(cluster, 'z');
  for (const id of rest) assert.equal((await changeVoters(cluster, 'add', id)).kind, 'changed');
  await cluster.advance(1000);
  assert.deepEqual(
    cluster.running.map((n) => cluster.stateOf(n)),
    cluster.running.map(() => ['x', 'y', 'z']),
  );
  assert.equal(cluster.running.length, 3);
});

test('an empty folder cannot be restored', async () => {
  const random = SeededRandom.create(1);
  const options = { disk: MemoryDisk.create(), random, logger: silentLogger };
  const store = (await DiskStore.open(options))._unsafeUnwrap();
  assert.ok((await forceSingleVoter(store, nodes[0]!)).isErr());
});

test('a change of the voter set that would leave no live quorum is refused', async () => {
  const cluster = await startCluster(11, 3);
  const [crashed, removed] = nonLeaders(cluster);
  cluster.crash(crashed!);
  await cluster.advance(2000);
  assert.equal((await changeVoters(cluster, 'remove', removed!)).kind, 'refused');
});

test('leadership is transferred within an election timeout without losing a command', async () => {
  const cluster = await startCluster(12, 3);
  await proposeAll(cluster, 'x');
  const formerLeader = cluster.leaseHolder!;
  void cluster.raftOf(formerLeader)!.transfer();
  const elapsedMs = await cluster.advanceUntil(
    () => cluster.leaseHolder !== undefined && cluster.leaseHolder !== formerLeader,
    500,
  );
  assert.notEqual(elapsedMs, undefined);
});

test('a leader whose transfer call was lost does not keep leading in its term', async () => {
  const cluster = await startCluster(12, 3);
  await proposeAll(cluster, 'x');
  const formerLeader = cluster.leaseHolder!;
  const { term } = cluster.raftOf(formerLeader)!;
  cluster.network.cut(formerLeader, nonLeaders(cluster)[0]!);
  void cluster.raftOf(formerLeader)!.transfer();
  await cluster.advance(5000);
  assert.ok(cluster.raftOf(cluster.leaseHolder!)!.term > term);
});

test('a log is formed only once all initial voters answer', async () => {
  const cluster = LogCluster.create({
    seed: 13,
    nodes: nodes.slice(0, 3),
    initialVoters: nodes.slice(0, 3),
  });
  await cluster.start(nodes[0]!);
  await cluster.start(nodes[1]!);
  await cluster.advance(5000);
  assert.equal(cluster.leaseHolder, undefined);
  await cluster.start(nodes[2]!);
  await proposeAll(cluster, 'x');
});

/** A cluster of `count` initial voters, of which a quorum may form the log. */
function createQuorum(seed: number, count: number): LogCluster {
  const initialVoters = nodes.slice(0, count);
  return LogCluster.create({ seed, nodes: initialVoters, initialVoters, formsBy: 'quorum' });
}

// Guards against a service that never begins, as one of its voters is gone at its first start.
test('a quorum of initial voters forms the log where the others never answer, and fewer do not', async () => {
  for (const count of [3, 5]) {
    const quorum = Math.floor(count / 2) + 1;
    const cluster = createQuorum(count, count);
    for (const id of nodes.slice(0, quorum - 1)) await cluster.start(id);
    await cluster.advance(10_000);
    assert.equal(cluster.leaseHolder, undefined);
    await cluster.start(nodes[quorum - 1]!);
    const tookMs = await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 5000);
    assert.ok(tookMs !== undefined && tookMs > 1000, `${tookMs} ms`);
    await proposeAll(cluster, 'x');
  }
});

test('initial voters that are all there form the log without a wait', async () => {
  const cluster = createQuorum(21, 3);
  await cluster.startAll();
  const tookMs = await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 5000);
  assert.ok(tookMs !== undefined && tookMs < defaultTiming.electionMs, `${tookMs} ms`);
});

// Guards against a second log that replaces what the first one has committed: its node has seen the
// voter of both empty, just before that voter got the first log.
test('a voter that two quorums share takes part in one log only', async () => {
  for (let seed = 100; seed < 130; seed += 1) {
    const cluster = createQuorum(seed, 3);
    const [a, b, c] = nodes as [NodeId, NodeId, NodeId];
    const isolate = (...pairs: readonly (readonly [NodeId, NodeId])[]) => {
      cluster.network.heal();
      for (const [x, y] of pairs) {
        cluster.network.cut(x, y);
        cluster.network.cut(y, x);
      }
    };
    isolate([a, b]);
    void cluster.start(a);
    void cluster.start(c);
    await cluster.advanceUntil(() => cluster.raftOf(a)?.role === 'leader', 5000);
    isolate([a, b], [a, c]);
    await cluster.start(b);
    await cluster.advanceUntil(() => cluster.raftOf(b)!.lastIndex > 0, 5000);
    isolate([a, b], [b, c]);
    await cluster.advanceUntil(() => cluster.leaseHolder === a, 5000);
    void cluster.propose(a, 'first');
    await cluster.advance(500);
    assert.equal(cluster.acknowledged.length, 1);
    isolate();
    cluster.crash(a);
    await cluster.advance(5000);
    assert.equal(cluster.failure, undefined, `${seed}`);
    await cluster.start(a);
    await proposeAll(cluster, 'second');
    await cluster.advance(3000);
    assert.equal(cluster.failure, undefined, `${seed}`);
    for (const { index, command } of cluster.acknowledged) {
      assert.equal(cluster.applied.get(index), command, `${seed}`);
    }
  }
});

test('random starts, cuts and crashes of initial voters form one log', async () => {
  for (let seed = 200; seed < 240; seed += 1) {
    const count = seed % 2 === 0 ? 3 : 5;
    const cluster = createQuorum(seed, count);
    const voters = nodes.slice(0, count);
    const draw = (below: number) => Math.floor(cluster.random.next() * below);
    for (let step = 0; step < 60; step += 1) {
      const id = voters[draw(count)]!;
      const kind = draw(5);
      if (kind <= 1) void cluster.start(id);
      else if (kind === 2) cluster.crash(id);
      else if (kind === 3) cluster.network.cut(id, voters[draw(count)]!);
      else cluster.network.heal();
      if (cluster.leaseHolder) void cluster.propose(cluster.leaseHolder, `${seed}-${step}`);
      await cluster.advance(50 + draw(700));
    }
    cluster.network.heal();
    await cluster.startAll();
    await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 20_000);
    await proposeAll(cluster, 'last');
    await cluster.advance(1000);
    assert.equal(cluster.failure, undefined, `${seed}`);
    for (const { index, command } of cluster.acknowledged) {
      assert.equal(cluster.applied.get(index), command, `${seed}`);
    }
  }
});

test('a new log has a leader without waiting for the silence of an earlier one', async () => {
  for (let seed = 60; seed < 70; seed += 1) {
    const cluster = LogCluster.create({
      seed,
      nodes: nodes.slice(0, 3),
      initialVoters: nodes.slice(0, 3),
    });
    await cluster.startAll();
    const tookMs = await cluster.advanceUntil(() => cluster.leaseHolder !== undefined, 5000);
    assert.ok(tookMs !== undefined && tookMs < defaultTiming.electionMs, `${seed}: ${tookMs} ms`);
  }
});

test('proposals that arrive during a sync share the next one', async () => {
  const cluster = await startCluster(14, 1, { syncMs: 5 });
  const disk = cluster.diskOf(nodes[0]!);
  const before = disk.syncCount;
  for (const x of numbered(200)) void cluster.propose(nodes[0]!, x);
  await cluster.advance(100);
  assert.equal(cluster.acknowledged.length, 200);
  assert.ok(disk.syncCount - before <= 3);
});

test('proposals over the limit of the queue are refused', async () => {
  const cluster = await startCluster(15, 1, { syncMs: 5, limits: { queueBytes: 10 } });
  const accepted = cluster.raftOf(nodes[0]!)!.propose(Buffer.alloc(8));
  const refused = await cluster.raftOf(nodes[0]!)!.propose(Buffer.alloc(8));
  assert.equal(refused._unsafeUnwrapErr().kind, 'overloaded');
  await cluster.advance(100);
  assert.ok((await accepted).isOk());
});

test('no node throws while a voter is stopping, and the leader keeps committing', async () => {
  const cluster = await startCluster(19, 3);
  await proposeAll(cluster, 'x');
  const [stopped] = nonLeaders(cluster);
  void cluster.raftOf(stopped!)!.stop();
  await proposeAll(cluster, 'y');
  await cluster.advance(1000);
  assert.equal(cluster.failure, undefined);
  assert.equal(cluster.acknowledged.length, 2);
});

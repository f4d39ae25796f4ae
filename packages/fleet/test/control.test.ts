import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId, UpstreamId } from '@tanagercart/base';
import { Fleet, documentOf } from './fleet.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(NodeId) as [NodeId, NodeId, NodeId, NodeId];

/** Version of the document that a node reads, or -1 if it has no answer. */
async function versionAt(fleet: Fleet, id: NodeId): Promise<number> {
  const read = await fleet.settle(fleet.nodes.get(id)!.readDocument());
  return read.isOk() ? read.value.version : -1;
}

/** Version in force after a submission through a node, or -1 if it was not acknowledged. */
async function submit(fleet: Fleet, id: NodeId, version: number): Promise<number> {
  const done = await fleet.settle(fleet.nodes.get(id)!.submit(documentOf(version)));
  return done.unwrapOr(-1);
}

test('a document accepted through one node is read from every node', async () => {
  const fleet = await Fleet.start(1);
  assert.equal(await submit(fleet, a, 7), 7);
  for (const id of [a, b, c]) assert.equal(await versionAt(fleet, id), 7);
  const { text } = (await fleet.settle(fleet.nodes.get(b)!.readDocument()))._unsafeUnwrap();
  assert.equal(text, documentOf(7).text);
});

test('an older document is acknowledged but not put in force', async () => {
  const fleet = await Fleet.start(2);
  await submit(fleet, a, 7);
  assert.equal(await submit(fleet, b, 5), 7);
  assert.equal(await submit(fleet, c, 7), 7);
  assert.equal(await versionAt(fleet, a), 7);
});

test('of documents submitted concurrently, the highest version is in force', async () => {
  const fleet = await Fleet.start(3);
  const versions = [4, 9, 2, 8, 3, 7];
  const ids = [a, b, c];
  const sent = versions.map((v, i) => fleet.nodes.get(ids[i % 3]!)!.submit(documentOf(v)));
  await fleet.settle(Promise.all(sent));
  assert.equal(await versionAt(fleet, c), 9);
});

test('an accepted document survives a crash of all processes', async () => {
  const fleet = await Fleet.start(4);
  await submit(fleet, a, 7);
  for (const id of [a, b, c]) fleet.kill(id);
  for (const id of [a, b, c]) fleet.startNode(id);
  await fleet.waitUntil(() => fleet.leader !== undefined);
  assert.equal(await versionAt(fleet, a), 7);
});

// A restarted node gets no initial set, so it has to find the one that its disk stores.
test('a node that stops before it has formed the log forms it after a restart', async () => {
  const fleet = Fleet.create(13);
  for (const id of [a, b]) fleet.startNode(id, [a, b, c]);
  await fleet.clock.advance(400);
  fleet.kill(a);
  await fleet.clock.advance(300);
  fleet.startNode(a);
  fleet.startNode(c, [a, b, c]);
  await fleet.waitUntil(() => fleet.leader !== undefined, 5000);
  assert.equal(await submit(fleet, c, 7), 7);
});

// The first node of the initial set loses the record that it was to form the log with its disk.
test('if the node that should form the log loses its disk, the next one forms it', async () => {
  const fleet = Fleet.create(15);
  for (const id of [a, b]) fleet.startNode(id, [a, b, c]);
  await fleet.clock.advance(400);
  fleet.wipe(a);
  fleet.startNode(a);
  fleet.startNode(c, [a, b, c]);
  await fleet.waitUntil(() => fleet.leader !== undefined, 5000);
  assert.equal(await submit(fleet, a, 7), 7);
  await fleet.waitUntil(() => [a, b, c].every((id) => fleet.nodes.get(id)!.isVoter));
});

// Guards against a service that never begins, as one of its voters is gone at its first start.
test('a voter that is gone at its first start keeps the others from nothing, and may be replaced', async () => {
  for (const seed of [16, 17, 18]) {
    const fleet = Fleet.create(seed);
    for (const id of [a, b]) fleet.startNode(id, [a, b, c]);
    await fleet.waitUntil(() => fleet.leader !== undefined, 4000);
    assert.equal(await submit(fleet, b, 7), 7);
    fleet.startNode(d);
    await fleet.waitUntil(() => fleet.nodes.get(d)!.isVoter, 10_000);
    // It was only late.
    fleet.startNode(c, [a, b, c]);
    await fleet.waitUntil(() => fleet.nodes.get(c)!.isVoter, 10_000);
    fleet.kill(a);
    await fleet.waitUntil(() => fleet.leader !== undefined);
    assert.equal(await versionAt(fleet, d), 7);
  }
});

test('nodes with empty disks form no log without an initial set', async () => {
  const fleet = Fleet.create(14);
  for (const id of [a, b, c]) fleet.startNode(id);
  await fleet.clock.advance(5000);
  assert.equal(fleet.leader, undefined);
});

test('a leader that loses its disk after an acknowledgement rejoins as a new voter', async () => {
  for (const seed of [5, 6, 7]) {
    const fleet = await Fleet.start(seed);
    const leader = [a, b, c].find((id) => fleet.nodes.get(id)!.isLeader)!;
    assert.equal(await submit(fleet, leader, 7), 7);
    fleet.wipe(leader);
    fleet.startNode(leader);
    await fleet.waitUntil(() => fleet.nodes.get(leader)!.isVoter);
    const other = [a, b, c].find((id) => id !== leader)!;
    fleet.kill(other);
    await fleet.waitUntil(() => fleet.leader !== undefined);
    assert.equal(await versionAt(fleet, leader), 7);
  }
});

test('a node with an empty disk and another id replaces a lost voter', async () => {
  const fleet = await Fleet.start(8);
  await submit(fleet, a, 7);
  fleet.kill(b);
  fleet.startNode(d);
  await fleet.waitUntil(() => fleet.nodes.get(d)!.isVoter);
  await fleet.waitUntil(() => !fleet.nodes.get(d)!.voters.includes(b));
  fleet.kill(a);
  await fleet.waitUntil(() => fleet.leader !== undefined);
  assert.equal(await versionAt(fleet, d), 7);
});

test('a leader that is partitioned from the other nodes answers no read', async () => {
  const fleet = await Fleet.start(9);
  await submit(fleet, a, 7);
  const leader = [a, b, c].find((id) => fleet.nodes.get(id)!.isLeader)!;
  const others = [a, b, c].filter((id) => id !== leader);
  fleet.isolate(leader);
  await fleet.waitUntil(() => others.some((id) => fleet.nodes.get(id)!.isLeader));
  assert.equal(await submit(fleet, others[0]!, 9), 9);
  assert.equal(await versionAt(fleet, leader), -1);
  assert.equal(await versionAt(fleet, others[1]!), 9);
});

test('a leader does not parse each of the documents that follow one another quickly', async () => {
  const fleet = await Fleet.start(12);
  await submit(fleet, a, 1);
  await fleet.clock.advance(2000);
  const before = fleet.parsed;
  const from = fleet.clock.now();
  for (let version = 2; version < 12; version += 1) {
    void fleet.leader!.submit(documentOf(version));
    await fleet.clock.advance(200);
  }
  const seconds = (fleet.clock.now() - from) / 1000;
  assert.ok(
    fleet.parsed - before <= Math.ceil(seconds),
    `${fleet.parsed - before} in ${seconds} s`,
  );
  await fleet.clock.advance(1200);
  assert.equal(await versionAt(fleet, b), 11);
});

const ids = ['u1', 'u2', 'u3', 'u4', 'u5'];

/** Whether the records of the given upstreams cover all 20 layers. */
function allLayersHeld(fleet: Fleet, among: readonly string[]): boolean {
  const records = among.map((id) => fleet.leader?.upstream(UpstreamId(id))?.layers);
  return Array.from({ length: 20 }, (_, l) => l).every((l) =>
    records.some((r) => r && r.from <= l && l < r.to),
  );
}

test('all layers are placed on empty upstreams, and again after one is lost', async () => {
  const fleet = await Fleet.start(10);
  await submit(fleet, a, 7);
  await fleet.runFor(ids, 4000);
  assert.ok(allLayersHeld(fleet, ids));
  const remaining = ids.slice(1);
  fleet.upstreams.unresponsive.add(UpstreamId('u1'));
  await fleet.runFor(remaining, 8000);
  assert.ok(allLayersHeld(fleet, remaining));
});

// More loads at a time than the weight store serves at full speed would delay all of them.
// Guards against an upstream that cannot be sent an order, and holds the place of a load for good.
test('an error in the placement on one upstream keeps none from the others', async () => {
  const fleet = await Fleet.start(17);
  await submit(fleet, a, 7);
  const place = fleet.upstreams.place.bind(fleet.upstreams);
  fleet.upstreams.place = (upstream, order) => {
    if (upstream.id === UpstreamId('u1')) throw new TypeError('invalid character');
    return place(upstream, order);
  };
  await fleet.runFor(ids, 4000);
  await fleet.runFor(ids.slice(1), 8000);
  assert.ok(allLayersHeld(fleet, ids.slice(1)));
  assert.equal(fleet.failure, undefined);
});

test('while a service has layers placed, the number of concurrent loads is limited', async () => {
  const fleet = await Fleet.start(12);
  await submit(fleet, a, 7);
  await fleet.heartbeat(['u1', 'u2', 'u3']);
  await fleet.waitUntil(() => fleet.upstreams.layers.size === 3, 10_000);
  await fleet.clock.advance(2000);
  const all = ['u1', 'u2', 'u3', ...Array.from({ length: 20 }, (_, i) => `w${i}`)];
  fleet.upstreams.loadMs = 500;
  let maxLoads = 0;
  for (let i = 0; i < 20 && fleet.upstreams.layers.size < all.length; i += 1) {
    await fleet.heartbeat(all);
    for (let step = 0; step < 5; step += 1) {
      maxLoads = Math.max(maxLoads, fleet.upstreams.activeLoads);
      await fleet.clock.advance(100);
    }
  }
  assert.equal(fleet.upstreams.layers.size, all.length);
  assert.ok(maxLoads > 1 && maxLoads <= 6, `${maxLoads} loads at a time`);
});

test('fencing tokens increase with every order, also after a change of leader', async () => {
  const fleet = await Fleet.start(11);
  await submit(fleet, a, 7);
  await fleet.runFor(ids, 4000);
  const leader = [a, b, c].find((id) => fleet.nodes.get(id)!.isLeader)!;
  fleet.kill(leader);
  await fleet.waitUntil(() => fleet.leader !== undefined);
  await fleet.runFor(ids.slice(2), 8000);
  for (const tokens of fleet.upstreams.fencingTokens.values()) {
    assert.deepEqual(
      tokens,
      [...new Set(tokens)].sort((x, y) => x - y),
    );
  }
});

test('a phase is not reverted within one incarnation', async () => {
  const fleet = await Fleet.start(12);
  await submit(fleet, a, 7);
  await fleet.heartbeat(['u1']);
  await fleet.heartbeat(['u1'], { phase: 'draining' });
  await fleet.heartbeat(['u1']);
  assert.equal(fleet.leader!.upstream(UpstreamId('u1'))!.phase, 'draining');
  await fleet.heartbeat(['u1'], { born: 2, sequence: 1 });
  assert.equal(fleet.leader!.upstream(UpstreamId('u1'))!.phase, 'ready');
  await fleet.heartbeat(['u1'], { born: 1, sequence: 99, phase: 'gone' });
  assert.equal(fleet.leader!.upstream(UpstreamId('u1'))!.phase, 'ready');
});

test('an address belongs to the upstream that started last', async () => {
  const fleet = await Fleet.start(13);
  await submit(fleet, a, 7);
  await fleet.heartbeat(['u1'], { address: 'x:1', born: 1 });
  await fleet.heartbeat(['u2'], { address: 'x:1', born: 5 });
  assert.equal(fleet.leader!.upstream(UpstreamId('u1'))!.phase, 'gone');
  await fleet.heartbeat(['u3'], { address: 'x:1', born: 3 });
  assert.equal(fleet.leader!.upstream(UpstreamId('u3')), undefined);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId, UpstreamId } from '@tanagercart/base';
import { Fleet, documentOf } from './fleet.js';

const [a, b, c, d] = ['a', 'b', 'c', 'd'].map(NodeId) as [NodeId, NodeId, NodeId, NodeId];

async function versionAt(fleet: Fleet, id: NodeId): Promise<number> {
  const read = await fleet.of(fleet.nodes.get(id)!.readDocument());
  return read.isOk() ? read.value.version : -1;
}

async function submit(fleet: Fleet, id: NodeId, version: number): Promise<number> {
  const done = await fleet.of(fleet.nodes.get(id)!.submit(documentOf(version)));
  return done.unwrapOr(-1);
}

test('a document that was accepted anywhere is read back everywhere', async () => {
  const fleet = await Fleet.start(1);
  assert.equal(await submit(fleet, a, 7), 7);
  for (const id of [a, b, c]) assert.equal(await versionAt(fleet, id), 7);
  const { text } = (await fleet.of(fleet.nodes.get(b)!.readDocument()))._unsafeUnwrap();
  assert.equal(text, documentOf(7).text);
});

test('an older document is acknowledged and changes nothing', async () => {
  const fleet = await Fleet.start(2);
  await submit(fleet, a, 7);
  assert.equal(await submit(fleet, b, 5), 7);
  assert.equal(await submit(fleet, c, 7), 7);
  assert.equal(await versionAt(fleet, a), 7);
});

test('documents sent at once through all nodes leave the highest in force', async () => {
  const fleet = await Fleet.start(3);
  const versions = [4, 9, 2, 8, 3, 7];
  const ids = [a, b, c];
  const sent = versions.map((v, i) => fleet.nodes.get(ids[i % 3]!)!.submit(documentOf(v)));
  await fleet.of(Promise.all(sent));
  assert.equal(await versionAt(fleet, c), 9);
});

test('what was accepted survives the death of all processes', async () => {
  const fleet = await Fleet.start(4);
  await submit(fleet, a, 7);
  for (const id of [a, b, c]) fleet.kill(id);
  for (const id of [a, b, c]) fleet.run(id);
  await fleet.until(() => fleet.leader !== undefined);
  assert.equal(await versionAt(fleet, a), 7);
});

test('a node that ends before it has formed the log forms it when it starts again', async () => {
  const fleet = Fleet.create(13);
  for (const id of [a, b]) fleet.run(id, [a, b, c]);
  await fleet.clock.advance(400);
  fleet.kill(a);
  await fleet.clock.advance(300);
  fleet.run(a);
  fleet.run(c, [a, b, c]);
  await fleet.until(() => fleet.leader !== undefined, 5000);
  assert.equal(await submit(fleet, c, 7), 7);
});

test('where the node that should form the log lost its disk before, the next one forms it', async () => {
  const fleet = Fleet.create(15);
  for (const id of [a, b]) fleet.run(id, [a, b, c]);
  await fleet.clock.advance(400);
  fleet.wipe(a);
  fleet.run(a);
  fleet.run(c, [a, b, c]);
  await fleet.until(() => fleet.leader !== undefined, 5000);
  assert.equal(await submit(fleet, a, 7), 7);
  await fleet.until(() => [a, b, c].every((id) => fleet.nodes.get(id)!.isVoter));
});

test('an empty node that is started later than the first time forms nothing', async () => {
  const fleet = Fleet.create(14);
  for (const id of [a, b, c]) fleet.run(id);
  await fleet.clock.advance(5000);
  assert.equal(fleet.leader, undefined);
});

test('a leader that loses its disk right after its word joins again as another voter', async () => {
  for (const seed of [5, 6, 7]) {
    const fleet = await Fleet.start(seed);
    const leader = [a, b, c].find((id) => fleet.nodes.get(id)!.isLeader)!;
    assert.equal(await submit(fleet, leader, 7), 7);
    fleet.wipe(leader);
    fleet.run(leader);
    await fleet.until(() => fleet.nodes.get(leader)!.isVoter);
    const other = [a, b, c].find((id) => id !== leader)!;
    fleet.kill(other);
    await fleet.until(() => fleet.leader !== undefined);
    assert.equal(await versionAt(fleet, leader), 7);
  }
});

test('an empty node at another address takes the place of one that is gone', async () => {
  const fleet = await Fleet.start(8);
  await submit(fleet, a, 7);
  fleet.kill(b);
  fleet.run(d);
  await fleet.until(() => fleet.nodes.get(d)!.isVoter);
  await fleet.until(() => !fleet.nodes.get(d)!.voters.includes(b));
  fleet.kill(a);
  await fleet.until(() => fleet.leader !== undefined);
  assert.equal(await versionAt(fleet, d), 7);
});

test('a node cut off from the others answers no read', async () => {
  const fleet = await Fleet.start(9);
  await submit(fleet, a, 7);
  const leader = [a, b, c].find((id) => fleet.nodes.get(id)!.isLeader)!;
  const others = [a, b, c].filter((id) => id !== leader);
  for (const id of others) {
    fleet.network.cut(leader, id);
    fleet.network.cut(id, leader);
  }
  await fleet.until(() => others.some((id) => fleet.nodes.get(id)!.isLeader));
  assert.equal(await submit(fleet, others[0]!, 9), 9);
  assert.equal(await versionAt(fleet, leader), -1);
  assert.equal(await versionAt(fleet, others[1]!), 9);
});

const ids = ['u1', 'u2', 'u3', 'u4', 'u5'];

function covered(fleet: Fleet, among: readonly string[]): boolean {
  const records = among.map((id) => fleet.leader?.upstream(UpstreamId(id))?.layers);
  return Array.from({ length: 20 }, (_, l) => l).every((l) =>
    records.some((r) => r && r.from <= l && l < r.to),
  );
}

test('empty upstreams are given every layer, and again what a lost one held', async () => {
  const fleet = await Fleet.start(10);
  await submit(fleet, a, 7);
  await fleet.live(ids, 4000);
  assert.ok(covered(fleet, ids));
  const left = ids.slice(1);
  fleet.upstreams.dark.add(UpstreamId('u1'));
  await fleet.live(left, 8000);
  assert.ok(covered(fleet, left));
});

test('once a service serves, no more upstreams load at a time than the store is fast for', async () => {
  const fleet = await Fleet.start(12);
  await submit(fleet, a, 7);
  await fleet.beat(['u1', 'u2', 'u3']);
  await fleet.until(() => fleet.upstreams.held.size === 3, 10_000);
  await fleet.clock.advance(2000);
  const all = ['u1', 'u2', 'u3', ...Array.from({ length: 20 }, (_, i) => `w${i}`)];
  fleet.upstreams.loadMs = 500;
  let most = 0;
  for (let i = 0; i < 20 && fleet.upstreams.held.size < all.length; i += 1) {
    await fleet.beat(all);
    for (let step = 0; step < 5; step += 1) {
      most = Math.max(most, fleet.upstreams.loading);
      await fleet.clock.advance(100);
    }
  }
  assert.equal(fleet.upstreams.held.size, all.length);
  assert.ok(most > 1 && most <= 6, `${most} loads at a time`);
});

test('fencing tokens only ever rise, also under another leader', async () => {
  const fleet = await Fleet.start(11);
  await submit(fleet, a, 7);
  await fleet.live(ids, 4000);
  const leader = [a, b, c].find((id) => fleet.nodes.get(id)!.isLeader)!;
  fleet.kill(leader);
  await fleet.until(() => fleet.leader !== undefined);
  await fleet.live(ids.slice(2), 8000);
  for (const fences of fleet.upstreams.fences.values()) {
    assert.deepEqual(
      fences,
      [...new Set(fences)].sort((x, y) => x - y),
    );
  }
});

test('a phase is never taken back within one incarnation', async () => {
  const fleet = await Fleet.start(12);
  await submit(fleet, a, 7);
  await fleet.beat(['u1']);
  await fleet.beat(['u1'], { phase: 'draining' });
  await fleet.beat(['u1']);
  assert.equal(fleet.leader!.upstream(UpstreamId('u1'))!.phase, 'draining');
  await fleet.beat(['u1'], { born: 2, sequence: 1 });
  assert.equal(fleet.leader!.upstream(UpstreamId('u1'))!.phase, 'ready');
  await fleet.beat(['u1'], { born: 1, sequence: 99, phase: 'gone' });
  assert.equal(fleet.leader!.upstream(UpstreamId('u1'))!.phase, 'ready');
});

test('an address that another upstream took belongs to the later one', async () => {
  const fleet = await Fleet.start(13);
  await submit(fleet, a, 7);
  await fleet.beat(['u1'], { address: 'x:1', born: 1 });
  await fleet.beat(['u2'], { address: 'x:1', born: 5 });
  assert.equal(fleet.leader!.upstream(UpstreamId('u1'))!.phase, 'gone');
  await fleet.beat(['u3'], { address: 'x:1', born: 3 });
  assert.equal(fleet.leader!.upstream(UpstreamId('u3')), undefined);
});

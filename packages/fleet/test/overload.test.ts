import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId, UpstreamId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { Fleet, documentOf } from './fleet.js';

const voters = ['a', 'b', 'c', 'd', 'e'];

/** Starts entries that report load at an upstream. */
function startEntries(fleet: Fleet, count: number): void {
  const loads = [{ id: UpstreamId('u0'), sequences: 1, entered: 1, tokenLayers: 1 }];
  for (let i = 0; i < count; i += 1) fleet.startEntry(NodeId(`entry-${i}`), { loads });
}

/**
 * For `ms`, lets 100 upstreams send 80 heartbeats a second in turn, and 20 others change 20 times a
 * second. Returns how many of the samples found no leader that holds its lease.
 */
async function changeUpstreams(fleet: Fleet, ms: Millis): Promise<number> {
  const end = fleet.clock.now() + ms;
  let samplesWithoutLeader = 0;
  for (let i = 0; fleet.clock.now() < end; i += 1) {
    for (let k = 0; k < 4; k += 1) void fleet.announce(`steady${(i * 4 + k) % 100}`);
    void fleet.announce(`changing${i % 20}`, { born: 2 + i });
    await fleet.clock.advance(50);
    if (!fleet.leader) samplesWithoutLeader += 1;
  }
  return samplesWithoutLeader;
}

test('a leader on a small machine keeps its lease while a large fleet follows changes', async () => {
  const fleet = await Fleet.start(41, voters, { watch: 5, beat: 2.5 });
  startEntries(fleet, 68);
  await fleet.clock.advance(3000);
  assert.equal(await changeUpstreams(fleet, 10_000), 0);
  const sentAt = fleet.clock.now();
  const [node] = fleet.nodes.values();
  const done = await fleet.settle(node!.submit(documentOf(9)));
  assert.equal(done.unwrapOr(-1), 9);
  // An operator turns to another node after this time.
  assert.ok(fleet.clock.now() - sentAt < 1000);
});

test('a lapse of the lease within a term does not make the leader forget the entries', async () => {
  const fleet = await Fleet.start(42, voters);
  startEntries(fleet, 5);
  await fleet.clock.advance(2000);
  const { leader } = fleet;
  assert.equal(leader!.entries.length, 5);
  fleet.network.setQuality({ delayMs: 170, jitterMs: 0, loss: 0 });
  await fleet.waitUntil(() => fleet.leader === undefined, 1000);
  await fleet.clock.advance(200);
  assert.equal(fleet.leader, undefined);
  fleet.network.setQuality({ delayMs: 0.5, jitterMs: 0, loss: 0 });
  await fleet.waitUntil(() => fleet.leader !== undefined, 1000);
  assert.equal(fleet.leader, leader);
  assert.equal(leader!.entries.length, 5);
});

test('a leader that is held up by the check of a large document keeps its term', async () => {
  const fleet = await Fleet.start(43, voters, {});
  for (let i = 0; i < 10; i += 1) {
    const { leader } = fleet;
    const [id] = [...fleet.nodes].find(([, node]) => node === leader)!;
    void fleet.processors.get(id)!.work(600);
    await fleet.clock.advance(1500);
    assert.equal(fleet.leader, leader);
  }
});

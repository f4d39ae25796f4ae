import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { adoptionWaitMs } from '../src/index.js';
import { Fleet, documentOf, startEntries } from './fleet.js';
import { Operator, cutOff } from './operator.js';

const voters = ['a', 'b', 'c', 'd', 'e'];

for (const direction of ['both', 'replies'] as const) {
  test(`an entry does not answer by a document that was replaced while it was cut off: ${direction}`, async () => {
    const fleet = await Fleet.start(61);
    const views = startEntries(fleet, 4);
    const operator = new Operator(fleet, views);
    const [node] = fleet.nodes.values();
    void operator.submit(() => node);
    await operator.watch(2000);
    cutOff(fleet, NodeId('entry-0'), direction);
    for (let i = 0; i < 4; i += 1) {
      void operator.submit(() => node);
      await operator.watch(i * 400);
    }
    await operator.watch(6000);
    assert.deepEqual(operator.outdated.slice(0, 3), []);
    assert.equal(operator.acknowledged.length, 5);
    fleet.network.heal();
    await operator.watch(2000);
    assert.ok([...views.values()].every((v) => v.isCurrent && v.document.version === 5));
  });
}

test('no entry of an overloaded fleet answers by an older document than the bound allows', async () => {
  // A reply takes 2 ms on a small machine of today; the check of a large document, 600 ms.
  const fleet = await Fleet.start(62, voters, { watch: 5, beat: 2.5 });
  const views = startEntries(fleet, 68);
  const operator = new Operator(fleet, views);
  let next = 0;
  const anyNode = () => {
    const nodes = [...fleet.nodes.values()];
    next += 1;
    return nodes[next % nodes.length];
  };
  const storm = async (count: number, gapMs: Millis) => {
    for (let i = 0; i < count; i += 1) {
      void operator.submit(anyNode);
      for (let k = 0; k < 4; k += 1) void fleet.announce(`steady${(i * 4 + k) % 100}`);
      void fleet.announce(`changing${i % 20}`, { born: 2 + i });
      await operator.watch(gapMs);
    }
  };
  await operator.watch(4000);
  await storm(25, 60);
  await operator.watch(1000);
  const [leaderId] = [...fleet.nodes].find(([, n]) => n === fleet.leader)!;
  void fleet.processors.get(leaderId)!.work(600);
  await storm(5, 300);
  fleet.kill(leaderId);
  await storm(20, 200);
  const [nextLeader] = [...fleet.nodes].find(([, n]) => n === fleet.leader) ?? [];
  if (nextLeader) void fleet.processors.get(nextLeader)!.work(600);
  await storm(10, 100);
  await operator.watch(6000);
  assert.deepEqual(operator.outdated.slice(0, 3), []);
  assert.equal(operator.acknowledged.length, 60);
});

/** Time that a fleet takes to acknowledge the next document. */
async function timeToAcknowledge(fleet: Fleet, version: number): Promise<Millis> {
  const sentAt = fleet.clock.now();
  const [node] = fleet.nodes.values();
  assert.equal((await fleet.settle(node!.submit(documentOf(version)))).unwrapOr(-1), version);
  return fleet.clock.now() - sentAt;
}

test('an acknowledgement waits no longer than for the entries to receive the document', async () => {
  const fleet = await Fleet.start(63);
  const views = startEntries(fleet, 4);
  await fleet.clock.advance(3000);
  assert.ok((await timeToAcknowledge(fleet, 1)) <= 100);
  assert.ok([...views.values()].every((v) => v.document.version === 1));
  cutOff(fleet, NodeId('entry-0'), 'both');
  const waitedMs = await timeToAcknowledge(fleet, 2);
  assert.ok(waitedMs >= adoptionWaitMs && waitedMs <= adoptionWaitMs + 100, `${waitedMs} ms`);
  await fleet.clock.advance(3000);
  assert.ok((await timeToAcknowledge(fleet, 3)) <= 100);
});

test('a leader that does not know the entries yet takes them to lack a document', async () => {
  const fleet = await Fleet.start(64);
  const views = startEntries(fleet, 2);
  await fleet.clock.advance(3000);
  cutOff(fleet, NodeId('entry-0'), 'both');
  const [leaderId] = [...fleet.nodes].find(([, n]) => n === fleet.leader)!;
  fleet.kill(leaderId);
  await fleet.waitUntil(() => fleet.leader !== undefined);
  const operator = new Operator(fleet, views);
  void operator.submit(() => fleet.leader);
  await operator.watch(6000);
  assert.ok(operator.tookMs[0]! >= adoptionWaitMs);
  assert.deepEqual(operator.outdated, []);
});

test('an acknowledgement is not early because the wall clock of the leader stepped forward', async () => {
  const fleet = await Fleet.start(65);
  const views = startEntries(fleet, 4);
  const operator = new Operator(fleet, views);
  await operator.watch(4000);
  const [leaderId, leader] = [...fleet.nodes].find(([, n]) => n === fleet.leader)!;
  cutOff(fleet, NodeId('entry-0'), 'both');
  fleet.wallAheadMs.set(leaderId, 6000);
  await fleet.waitUntil(() => leader.isLeader);
  void operator.submit(() => leader);
  await operator.watch(6000);
  assert.ok(operator.tookMs[0]! >= adoptionWaitMs, `${operator.tookMs[0]} ms`);
  assert.deepEqual(operator.outdated, []);
});

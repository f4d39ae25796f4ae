import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import type { DiskFault } from '@tanagercart/log';
import { Fleet, documentOf } from './fleet.js';

const [a, b, c] = ['a', 'b', 'c'].map(NodeId) as [NodeId, NodeId, NodeId];

/** Submits a document repeatedly until it is accepted, as an operator would. */
async function submitUntilAccepted(fleet: Fleet, id: NodeId, version: number): Promise<void> {
  for (let tries = 0; tries < 20; tries += 1) {
    const done = await fleet.settle(fleet.nodes.get(id)!.submit(documentOf(version)));
    if (done.isOk()) return;
    await fleet.clock.advance(200);
  }
  throw new Error('the document was not accepted');
}

for (const fault of ['full', 'failing'] as const satisfies readonly DiskFault[]) {
  test(`documents are accepted while the disk of the leader is ${fault}, and it votes again`, async () => {
    const fleet = await Fleet.start(fault === 'full' ? 41 : 42);
    await submitUntilAccepted(fleet, a, 3);
    const faulty = [a, b, c].find((id) => fleet.nodes.get(id)!.isLeader)!;
    const other = [a, b, c].find((id) => id !== faulty)!;
    fleet.disks.get(faulty)!.fault = fault;
    await submitUntilAccepted(fleet, other, 4);
    fleet.disks.get(faulty)!.fault = 'none';
    await fleet.waitUntil(() => fleet.nodes.get(faulty)!.isVoter, 5000);
    for (const id of [a, b, c]) {
      const read = await fleet.settle(fleet.nodes.get(id)!.readDocument());
      assert.equal(read.unwrapOr({ version: -1, text: '' }).version, 4);
    }
  });
}

test('no document is acknowledged while all disks are full, but again afterwards', async () => {
  const fleet = await Fleet.start(43);
  await submitUntilAccepted(fleet, a, 3);
  for (const id of [a, b, c]) fleet.disks.get(id)!.fault = 'full';
  const done = await fleet.settle(fleet.nodes.get(a)!.submit(documentOf(4)));
  assert.ok(done.isErr());
  for (const id of [a, b, c]) fleet.disks.get(id)!.fault = 'none';
  await submitUntilAccepted(fleet, b, 4);
  const read = await fleet.settle(fleet.nodes.get(c)!.readDocument());
  assert.equal(read.unwrapOr({ version: -1, text: '' }).version, 4);
});

test('changes are accepted after the disks of all voters were full one after another', async () => {
  for (const seed of [44, 45, 46, 47, 48, 49]) {
    const names = ['a', 'b', 'c', 'd', 'e'];
    const fleet = await Fleet.start(seed, names);
    let version = 2;
    await submitUntilAccepted(fleet, a, version);
    for (const id of names.map(NodeId)) {
      fleet.disks.get(id)!.fault = 'full';
      const other = names.map(NodeId).find((n) => n !== id)!;
      for (let i = 0; i < 3; i += 1) {
        version += 1;
        void fleet.nodes.get(other)!.submit(documentOf(version));
        await fleet.clock.advance(900 + seed);
      }
      fleet.disks.get(id)!.fault = 'none';
      await fleet.clock.advance(400);
    }
    await fleet.clock.advance(5000);
    assert.ok(names.map(NodeId).every((id) => fleet.nodes.get(id)!.isVoter));
    const startedAt = fleet.clock.now();
    await submitUntilAccepted(fleet, a, version + 1);
    assert.ok(fleet.clock.now() - startedAt < 2000, `seed ${seed}`);
  }
});

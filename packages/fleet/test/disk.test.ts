import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId } from '@tanagercart/base';
import type { DiskFault } from '@tanagercart/log';
import { Fleet, documentOf } from './fleet.js';

const [a, b, c] = ['a', 'b', 'c'].map(NodeId) as [NodeId, NodeId, NodeId];

/** Submits until the document is accepted, as operators do. */
async function accepted(fleet: Fleet, id: NodeId, version: number): Promise<void> {
  for (let tries = 0; tries < 20; tries += 1) {
    const done = await fleet.of(fleet.nodes.get(id)!.submit(documentOf(version)));
    if (done.isOk()) return;
    await fleet.clock.advance(200);
  }
  throw new Error('was not accepted');
}

for (const fault of ['full', 'failing'] as const satisfies readonly DiskFault[]) {
  test(`changes are accepted while the leader's disk is ${fault}, and it votes again after`, async () => {
    const fleet = await Fleet.start(fault === 'full' ? 41 : 42);
    await accepted(fleet, a, 3);
    const broken = [a, b, c].find((id) => fleet.nodes.get(id)!.isLeader)!;
    const other = [a, b, c].find((id) => id !== broken)!;
    fleet.disks.get(broken)!.fault = fault;
    await accepted(fleet, other, 4);
    fleet.disks.get(broken)!.fault = 'none';
    await fleet.until(() => fleet.nodes.get(broken)!.isVoter, 5000);
    for (const id of [a, b, c]) {
      const read = await fleet.of(fleet.nodes.get(id)!.readDocument());
      assert.equal(read.unwrapOr({ version: -1, text: '' }).version, 4);
    }
  });
}

test('nothing is acknowledged while all disks are full, and all of it after', async () => {
  const fleet = await Fleet.start(43);
  await accepted(fleet, a, 3);
  for (const id of [a, b, c]) fleet.disks.get(id)!.fault = 'full';
  const done = await fleet.of(fleet.nodes.get(a)!.submit(documentOf(4)));
  assert.ok(done.isErr());
  for (const id of [a, b, c]) fleet.disks.get(id)!.fault = 'none';
  await accepted(fleet, b, 4);
  const read = await fleet.of(fleet.nodes.get(c)!.readDocument());
  assert.equal(read.unwrapOr({ version: -1, text: '' }).version, 4);
});

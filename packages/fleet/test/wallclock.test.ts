import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from './fleet.js';

test('no voter is removed because the wall clock of the leader stepped', async () => {
  const fleet = await Fleet.start(71, ['a', 'b', 'c', 'd']);
  const [leaderId, leader] = [...fleet.nodes].find(([, n]) => n.isLeader)!;
  for (let i = 0; i < 100; i += 1) {
    const ahead = fleet.wallAheadMs.get(leaderId) ?? 0;
    fleet.wallAheadMs.set(leaderId, ahead + 6000);
    await fleet.clock.advance(37);
  }
  await fleet.clock.advance(300);
  assert.equal(leader.voters.length, 4);
  assert.ok(leader.isLeader);
});

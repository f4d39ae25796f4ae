import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Fleet } from './fleet.js';

test('a heartbeat that reaches no leader is answered while its upstream waits', async () => {
  const fleet = await Fleet.start(77);
  await fleet.heartbeat(['u1']);
  await fleet.clock.advance(2000);
  const follower = [...fleet.nodes.values()].find((n) => n !== fleet.leader)!;
  for (const [id, node] of [...fleet.nodes]) if (node !== follower) fleet.kill(id);
  await fleet.clock.advance(2000);
  const sentAt = fleet.clock.now();
  const done = await fleet.settle(follower.announce(fleet.nextAnnouncement('u1')));
  assert.ok(done.isErr());
  // An upstream turns to another node after this time.
  assert.ok(fleet.clock.now() - sentAt < 1000, `${fleet.clock.now() - sentAt} ms`);
});

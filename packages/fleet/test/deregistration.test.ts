import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId, UpstreamId } from '@tanagercart/base';
import { Fleet, announcementOf, documentOf } from './fleet.js';

const names = ['a', 'b', 'c'].map(NodeId);
const id = UpstreamId('u1');

/** A fleet with the node that leads, and one that follows. */
async function start(seed: number) {
  const fleet = await Fleet.start(seed);
  const leader = fleet.leader!;
  const follower = [...fleet.nodes.values()].find((n) => n !== leader)!;
  return { fleet, leader, follower };
}

const phaseAt = (fleet: Fleet) => fleet.leader?.upstream(id)?.phase;

// Guards against an answer of a voter that has not applied the registration yet.
test('a deregistration through a voter that does not know the upstream yet is recorded', async () => {
  const { fleet, leader, follower } = await start(91);
  (await fleet.settle(leader.announce(announcementOf('u1'))))._unsafeUnwrap();
  assert.equal(follower.upstream(id), undefined, 'it is behind');
  (await fleet.settle(follower.deregister({ id, born: 1 })))._unsafeUnwrap();
  assert.equal(phaseAt(fleet), 'gone');
});

// Guards against the incarnation that a voter knows, where a later one deregisters.
test('a deregistration that names no incarnation ends the one that the log knows', async () => {
  const { fleet, leader, follower } = await start(92);
  (await fleet.settle(leader.announce(announcementOf('u1'))))._unsafeUnwrap();
  await fleet.waitUntil(() => follower.upstream(id) !== undefined);
  (await fleet.settle(leader.announce(announcementOf('u1', { born: 2 }))))._unsafeUnwrap();
  assert.equal(follower.upstream(id)?.born, 1, 'it is behind');
  (await fleet.settle(follower.deregister({ id, born: undefined })))._unsafeUnwrap();
  assert.deepEqual([leader.upstream(id)?.born, phaseAt(fleet)], [2, 'gone']);
});

// Guards against a heartbeat that was sent before the deregistration and arrives after it.
test('a late heartbeat does not register an upstream that deregistered, under this leader or the next', async () => {
  for (const hasNewLeader of [false, true]) {
    const { fleet, leader, follower } = await start(93);
    (await fleet.settle(follower.deregister({ id, born: 5 })))._unsafeUnwrap();
    if (hasNewLeader) {
      fleet.kill(names.find((n) => fleet.nodes.get(n) === leader)!);
      await fleet.waitUntil(() => fleet.leader !== undefined);
    }
    const late = announcementOf('u1', { born: 5, sequence: 3 });
    (await fleet.settle(fleet.leader!.announce(late)))._unsafeUnwrap();
    assert.equal(phaseAt(fleet), 'gone');
    const restarted = announcementOf('u1', { born: 6, sequence: 1 });
    (await fleet.settle(fleet.leader!.announce(restarted)))._unsafeUnwrap();
    assert.equal(phaseAt(fleet), 'ready');
  }
});

test('a deregistration of an incarnation before the one that the log knows changes nothing', async () => {
  const { fleet, leader, follower } = await start(94);
  (await fleet.settle(leader.announce(announcementOf('u1', { born: 5 }))))._unsafeUnwrap();
  (await fleet.settle(follower.deregister({ id, born: 4 })))._unsafeUnwrap();
  assert.deepEqual([leader.upstream(id)?.born, phaseAt(fleet)], [5, 'ready']);
});

// Guards against an acknowledgement by a leader that has been replaced.
test('a deregistration through a voter that reaches no quorum is not acknowledged', async () => {
  const { fleet, leader } = await start(95);
  const self = names.find((n) => fleet.nodes.get(n) === leader)!;
  fleet.isolate(self);
  const done = await fleet.settle(leader.deregister({ id, born: 1 }));
  assert.ok(done.isErr());
});

// Guards against the record of the layers, which was made from a copy and committed after the
// deregistration: the upstream counted as ready again.
test('a deregistration while the layers of the upstream are recorded is not taken back', async () => {
  const { fleet, leader } = await start(96);
  await fleet.settle(leader.submit(documentOf(1)));
  await fleet.runFor(['u2', 'u3', 'u4', 'u5'], 4000);
  let acknowledged: Promise<unknown> | undefined;
  fleet.upstreams.onReport = ({ layers, busy }, upstream) => {
    if (upstream !== id || busy || !layers) return;
    acknowledged ??= leader.deregister({ id, born: 1 });
  };
  await fleet.settle(leader.announce(fleet.nextAnnouncement('u1')));
  await fleet.waitUntil(() => acknowledged !== undefined, 20_000);
  await fleet.settle(acknowledged!);
  await fleet.clock.advance(1000);
  assert.equal(phaseAt(fleet), 'gone');
  assert.notEqual(leader.upstream(id)?.layers, undefined, 'its layers were recorded');
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NodeId, UpstreamId } from '@tanagercart/base';
import { Fleet } from './fleet.js';

const id = UpstreamId('u1');

test('what an upstream told one entry of its end is known to all, and no heartbeat takes it back', async () => {
  const fleet = await Fleet.start(71);
  await fleet.heartbeat(['u1', 'u2']);
  let leaving: readonly { readonly id: UpstreamId; readonly born: number }[] = [];
  const told = fleet.startEntry(NodeId('told'), { leaving: () => leaving }).view;
  const { view } = fleet.startEntry(NodeId('other'));
  await fleet.waitUntil(() => view.upstreams.get(id)?.phase === 'ready');
  leaving = [{ id, born: 1 }];
  await fleet.waitUntil(() => view.upstreams.get(id)?.phase === 'draining', 1000);
  await fleet.heartbeat(['u1', 'u2']);
  await fleet.clock.advance(500);
  assert.equal(view.upstreams.get(id)?.phase, 'draining');
  assert.equal(told.upstreams.get(UpstreamId('u2'))?.phase, 'ready');
  await fleet.heartbeat(['u1'], { born: 2 });
  await fleet.waitUntil(() => view.upstreams.get(id)?.phase === 'ready', 1000);
  await fleet.clock.advance(1500);
  assert.equal(
    view.upstreams.get(id)?.phase,
    'ready',
    'the word of an earlier incarnation is void',
  );
});

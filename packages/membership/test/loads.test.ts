import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, NodeId } from '@tanagercart/base';
import { KnownVoters, NodeLoads } from '../src/index.js';
import type { History } from '../src/index.js';

const [a, b, c] = ['a', 'b', 'c'].map(NodeId) as [NodeId, NodeId, NodeId];

function createFixture() {
  const clock = HeldClock.create();
  const state = { view: 7, nodes: new Map([a, b, c].map((n) => [n, {}])) };
  const history = { state } as unknown as History;
  const loadsOf = (self: NodeId, load: number) =>
    NodeLoads.create({ self, history, clock, ownLoad: () => load });
  return { clock, state, leader: loadsOf(a, 10), relay: loadsOf(b, 100), leaf: loadsOf(c, 1000) };
}

const assertNear = (load: number | undefined, want: number) =>
  assert.ok(load !== undefined && Math.abs(load / want - 1) < 0.05, `${load} is not near ${want}`);

test('loads reach every node through the tree, and expire once they are stale', async () => {
  const f = createFixture();
  f.relay.recordFromChild(f.leaf.digestForParent());
  f.leader.recordFromChild(f.relay.digestForParent());
  f.relay.recordFromParent(f.leader.digestForChild(b));
  f.leaf.recordFromParent(f.relay.digestForChild(c));
  assertNear(f.leader.of(c), 1000);
  assertNear(f.leaf.of(a), 10);
  assertNear(f.leaf.of(b), 100);
  assert.equal(f.relay.digestForChild(c), undefined);
  await f.clock.advance(10_000);
  assert.equal(f.leaf.of(a), undefined);
});

test('loads that were reported under another view are not used', () => {
  const f = createFixture();
  const digest = f.leaf.digestForParent();
  f.state.view = 8;
  f.relay.recordFromChild(digest);
  assert.equal(f.relay.of(c), undefined);
});

test('voters that the parent sends add to those in the settings and replace earlier ones', () => {
  const voters = KnownVoters.create(
    () => [a],
    () => undefined,
  );
  voters.recordFromParent([b]);
  voters.recordFromParent([c]);
  assert.deepEqual(voters.all, [c, a]);
  assert.deepEqual(voters.votersToSend(false, 0), [c]);
  assert.equal(voters.votersToSend(false, voters.receivedHash), undefined);
});

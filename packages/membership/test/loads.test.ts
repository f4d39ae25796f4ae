import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, NodeId } from '@tanagercart/base';
import { KnownVoters, NodeLoads } from '../src/index.js';
import type { History } from '../src/index.js';

const [a, b, c] = ['a', 'b', 'c'].map(NodeId) as [NodeId, NodeId, NodeId];

function fixture() {
  const clock = HeldClock.create();
  const state = { view: 7, nodes: new Map([a, b, c].map((n) => [n, {}])) };
  const history = { state } as unknown as History;
  const of = (self: NodeId, load: number) =>
    NodeLoads.create({ self, history, clock, own: () => load });
  return { clock, state, leader: of(a, 10), relay: of(b, 100), leaf: of(c, 1000) };
}

const near = (load: number | undefined, want: number) =>
  assert.ok(load !== undefined && Math.abs(load / want - 1) < 0.05, `${load} is not near ${want}`);

test('loads reach every node through the tree, and grow old', async () => {
  const f = fixture();
  f.relay.heardBelow(f.leaf.up());
  f.leader.heardBelow(f.relay.up());
  f.relay.heardAbove(f.leader.downTo(b));
  f.leaf.heardAbove(f.relay.downTo(c));
  near(f.leader.of(c), 1000);
  near(f.leaf.of(a), 10);
  near(f.leaf.of(b), 100);
  assert.equal(f.relay.downTo(c), undefined);
  await f.clock.advance(10_000);
  assert.equal(f.leaf.of(a), undefined);
});

test('loads that were told under another view are not used', () => {
  const f = fixture();
  const told = f.leaf.up();
  f.state.view = 8;
  f.relay.heardBelow(told);
  assert.equal(f.relay.of(c), undefined);
});

test('nodes know voters that the settings do not name, and drop those that are replaced', () => {
  const node = KnownVoters.create(
    () => [a],
    () => undefined,
  );
  node.told([b]);
  node.told([c]);
  assert.deepEqual(node.all, [c, a]);
  assert.deepEqual(node.present(false, 0), [c]);
  assert.equal(node.present(false, node.heardMark), undefined);
});

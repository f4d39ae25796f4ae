import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ModelId, ReplicaId, UpstreamId } from '@tanagercart/base';
import type { Replica, Upstream } from '@tanagercart/state';
import { emptyNote, finish, startCluster, until } from './cluster.js';
import type { Cluster, Member } from './cluster.js';

const voters = ['n1', 'n2', 'n3'];
const stage = (n: number): Upstream => ({
  id: UpstreamId(`u${n}`),
  incarnation: '1',
  url: 'http://127.0.0.1:1',
  dataCentre: 'north',
  role: {
    kind: 'stage',
    stage: {
      model: ModelId('fig'),
      versions: ['1'],
      adapters: [],
      from: 0,
      to: 8,
      accelerator: 'a',
      tokensPerSecond: 100,
      slots: 4,
    },
  },
});
const replica = (n: number): Replica => ({
  id: ReplicaId(`r${n}`),
  model: ModelId('fig'),
  stages: [UpstreamId(`u${n}`)],
});

async function withReplicas(count: number) {
  const c = await startCluster({ names: ['n1', 'n2', 'n3', 'n4', 'n5'], voters });
  const replicas = Array.from({ length: count }, (_, n) => replica(n));
  const propose = c.leader()!.proposer;
  const changes = replicas.map((_, n) => ({ kind: 'upstream-up', upstream: stage(n) }) as const);
  await finish(c, propose.propose({ kind: 'roster', changes }, 1000));
  const plan = { kind: 'plan', model: ModelId('fig'), replicas } as const;
  await finish(c, propose.propose(plan, 1000));
  await c.clock.advance(5000);
  return { c, replicas };
}

const granting = (c: Cluster, r: Replica) =>
  c.all().filter((m) => m.control.lease.valid && !m.member.draining && m.ownership.canGrant(r));

/** Runs for `ms`; the longest time without an owner that may grant `r`, and the most owners at once. */
async function watchOwners(c: Cluster, r: Replica, ms: number) {
  let [gap, longest, most] = [0, 0, 0];
  for (let t = 0; t < ms; t += 10) {
    await c.clock.advance(10);
    const owners = granting(c, r).length;
    most = Math.max(most, owners);
    gap = owners === 0 ? gap + 10 : 0;
    longest = Math.max(longest, gap);
  }
  return { longest, most };
}

function owned(c: Cluster, replicas: readonly Replica[], not?: Member) {
  const r = replicas.find((x) => {
    const [owner] = granting(c, x);
    return owner && owner !== not && !owner.member.raft;
  })!;
  return { r, owner: granting(c, r)[0]! };
}

test('every replica has one owner, and little moves when a node goes', async () => {
  const { c, replicas } = await withReplicas(40);
  const before = replicas.map((r) => granting(c, r).map((m) => m.id));
  assert.ok(before.every((owners) => owners.length === 1));
  const { owner } = owned(c, replicas);
  await owner.kill();
  c.members.delete(owner.id);
  await c.clock.advance(8000);
  replicas.forEach((r, i) => {
    const [was] = before[i]!;
    const [now] = granting(c, r);
    assert.ok(now);
    if (was !== owner.id) assert.equal(now.id, was);
  });
  await c.stop();
});

test('a cut off owner and the new one never grant at once', async () => {
  const { c, replicas } = await withReplicas(20);
  const { owner, r } = owned(c, replicas);
  c.isolate(owner);
  const { longest, most } = await watchOwners(c, r, 10_000);
  assert.equal(most, 1);
  // The old lease is waited out and then the longest start of a grant.
  assert.ok(longest >= 1000 && longest < 5000, `${longest}`);
  await c.stop();
});

test('a drained owner is followed without waiting for its lease', async () => {
  const { c, replicas } = await withReplicas(20);
  const { owner, r } = owned(c, replicas);
  owner.member.draining = true;
  const { longest, most } = await watchOwners(c, r, 6000);
  assert.equal(most, 1);
  assert.ok(longest < 2000, `${longest}`);
  await c.stop();
});

test('an owner that is up hands over once it confirms', async () => {
  const { c, replicas } = await withReplicas(40);
  const owners = () => replicas.map((r) => granting(c, r)[0]?.id);
  const before = owners();
  const joined = c.start('n6');
  c.members.set('n6', joined);
  await until(c, () => c.leader()!.history.state.nodes.has(joined.id));
  const moved = () => replicas.filter((r) => joined.ownership.ownerOf(r) === joined.id);
  await until(c, () => moved().length > 0);
  const from = c.clock.now();
  await until(c, () => moved().every((r) => joined.ownership.canGrant(r)));
  assert.ok(c.clock.now() - from < 1500);
  const after = owners();
  assert.ok(after.every((owner, i) => owner === before[i] || owner === joined.id));
  await c.stop();
});

test('a node that starts again waits for the grants of its old self', async () => {
  const { c, replicas } = await withReplicas(20);
  const { owner, r } = owned(c, replicas);
  await owner.kill();
  const again = c.start(owner.id);
  c.members.set(owner.id, again);
  await until(c, () => again.ownership.ownerOf(r) === again.id);
  assert.equal(again.ownership.canGrant(r), false);
  await c.clock.advance(5000);
  assert.equal(again.ownership.canGrant(r), true);
  await finish(c, c.submit(again, emptyNote(1)));
  await c.stop();
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ModelId, ReplicaId, UpstreamId } from '@tanagercart/base';
import type { Replica, Upstream } from '@tanagercart/state';
import { advanceUntil, emptyNote, settle, startCluster } from './cluster.js';
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
  const leaderProposer = c.leader()!.proposer;
  const changes = replicas.map((_, n) => ({ kind: 'upstream-up', upstream: stage(n) }) as const);
  await settle(c, leaderProposer.propose({ kind: 'roster', changes }, 1000));
  const plan = { kind: 'plan', model: ModelId('fig'), replicas } as const;
  await settle(c, leaderProposer.propose(plan, 1000));
  await c.clock.advance(5000);
  return { c, replicas };
}

const ownersOf = (c: Cluster, r: Replica) =>
  c.all().filter((m) => m.control.lease.valid && !m.member.draining && m.ownership.canGrant(r));

/**
 * Advances time by `ms`. Returns the longest time without an owner that may issue grants on `r`,
 * and the largest number of such owners at once.
 */
async function observeOwners(c: Cluster, r: Replica, ms: number) {
  let [gap, longest, most] = [0, 0, 0];
  for (let t = 0; t < ms; t += 10) {
    await c.clock.advance(10);
    const owners = ownersOf(c, r).length;
    most = Math.max(most, owners);
    gap = owners === 0 ? gap + 10 : 0;
    longest = Math.max(longest, gap);
  }
  return { longest, most };
}

function findOwned(c: Cluster, replicas: readonly Replica[], except?: Member) {
  const r = replicas.find((x) => {
    const [owner] = ownersOf(c, x);
    return owner && owner !== except && !owner.member.raft;
  })!;
  return { r, owner: ownersOf(c, r)[0]! };
}

test('every replica has one owner, and only those of a node that goes down move', async () => {
  const { c, replicas } = await withReplicas(40);
  const before = replicas.map((r) => ownersOf(c, r).map((m) => m.id));
  assert.ok(before.every((owners) => owners.length === 1));
  const { owner } = findOwned(c, replicas);
  await owner.kill();
  c.members.delete(owner.id);
  await c.clock.advance(8000);
  replicas.forEach((r, i) => {
    const [was] = before[i]!;
    const [now] = ownersOf(c, r);
    assert.ok(now);
    if (was !== owner.id) assert.equal(now.id, was);
  });
  await c.stop();
});

test('an owner that is cut off and its successor never issue grants at the same time', async () => {
  const { c, replicas } = await withReplicas(20);
  const { owner, r } = findOwned(c, replicas);
  c.isolate(owner);
  const { longest, most } = await observeOwners(c, r, 10_000);
  assert.equal(most, 1);
  // The successor waits until the old lease has expired and the last grants have lapsed.
  assert.ok(longest >= 1000 && longest < 5000, `${longest}`);
  await c.stop();
});

test('the successor of a drained owner does not wait for its lease to expire', async () => {
  const { c, replicas } = await withReplicas(20);
  const { owner, r } = findOwned(c, replicas);
  owner.member.draining = true;
  const { longest, most } = await observeOwners(c, r, 6000);
  assert.equal(most, 1);
  assert.ok(longest < 2000, `${longest}`);
  await c.stop();
});

test('an owner that is up hands over as soon as it confirms the change', async () => {
  const { c, replicas } = await withReplicas(40);
  const owners = () => replicas.map((r) => ownersOf(c, r)[0]?.id);
  const before = owners();
  const joined = c.start('n6');
  c.members.set('n6', joined);
  await advanceUntil(c, () => c.leader()!.history.state.nodes.has(joined.id));
  const moved = () => replicas.filter((r) => joined.ownership.ownerOf(r) === joined.id);
  await advanceUntil(c, () => moved().length > 0);
  const from = c.clock.now();
  await advanceUntil(c, () => moved().every((r) => joined.ownership.canGrant(r)));
  assert.ok(c.clock.now() - from < 1500);
  const after = owners();
  assert.ok(after.every((owner, i) => owner === before[i] || owner === joined.id));
  await c.stop();
});

test('a restarted node waits until the grants of its previous process have lapsed', async () => {
  const { c, replicas } = await withReplicas(20);
  const { owner, r } = findOwned(c, replicas);
  await owner.kill();
  const restarted = c.start(owner.id);
  c.members.set(owner.id, restarted);
  await advanceUntil(c, () => restarted.ownership.ownerOf(r) === restarted.id);
  assert.equal(restarted.ownership.canGrant(r), false);
  await c.clock.advance(5000);
  assert.equal(restarted.ownership.canGrant(r), true);
  await settle(c, c.submit(restarted, emptyNote(1)));
  await c.stop();
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AccountId, HeldClock, NodeId, SeededRandom, TierId, rendezvous } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import { Bucket, Limiter, QuotaServer } from '../src/index.js';
import type { Admission, Quota } from '../src/index.js';

const account = AccountId('grower');
const tier = TierId('urgent');
const quota: Quota = { concurrency: 4, requestsPerSecond: 10, tokensPerSecond: 1000 };

/** Nodes that share the quota; `owner` is the node that owns the account. */
function createCluster(count: number) {
  const clock = HeldClock.create();
  const network = MemoryNetwork.create(clock, SeededRandom.create(1));
  const names = Array.from({ length: count }, (_, i) => NodeId(`n${i}`));
  let live = names;
  let previous = names;
  const nodes = names.map((self) => {
    const transport = network.attach(self);
    const ownerOf = (a: AccountId) => rendezvous(a, live)[0];
    const server = QuotaServer.create({
      self,
      clock,
      transport,
      ownerOf,
      previousOwnerOf: (a) => rendezvous(a, previous)[0],
      quotaOf: () => quota,
      isLive: (n) => live.includes(n),
    });
    return { self, server, limiter: Limiter.create({ clock, transport, ownerOf }) };
  });
  // Disconnects a node. The function that is returned removes it from the live nodes.
  const disconnect = (lost: NodeId) => {
    network.detach(lost);
    return () => {
      previous = live;
      live = live.filter((n) => n !== lost);
      for (const n of nodes.filter((x) => live.includes(x.self))) {
        n.server.onNodesChanged();
        n.limiter.onNodesChanged();
      }
    };
  };
  const nodesExcept = (excluded: NodeId) => nodes.filter((n) => n.self !== excluded);
  return { clock, nodes, disconnect, nodesExcept, owner: rendezvous(account, names)[0]! };
}

type Cluster = ReturnType<typeof createCluster>;

async function admit(c: Cluster, limiter: Limiter, expectedTokens = 1) {
  const request = { account, tier, quota, expectedTokens };
  const admitted = limiter.admit(request);
  await c.clock.advance(600);
  return admitted;
}

async function admitMany(c: Cluster, limiters: readonly Limiter[]) {
  const admissions: Admission[] = [];
  for (const limiter of limiters) {
    (await admit(c, limiter)).map((a) => admissions.push(a));
  }
  return admissions;
}

test('a bucket fills at its rate, from below zero where more was taken than it held', () => {
  const b = Bucket.create(10, 10, 10, 0).take(20, 0);
  assert.equal(b.levelAt(0), -10);
  assert.equal(b.waitMs(1, 0), 1100);
  assert.equal(b.levelAt(5000), 10);
});

test('the concurrency limit holds across all nodes together', async () => {
  const c = createCluster(8);
  const admissions = await admitMany(
    c,
    c.nodes.map((n) => n.limiter),
  );
  assert.equal(admissions.length, quota.concurrency);
  const refused = await admit(c, c.nodes[7]!.limiter);
  assert.equal(refused._unsafeUnwrapErr().limit, 'concurrency');
});

test('the permit of a settled request can be used on another node', async () => {
  const c = createCluster(8);
  const stop = new AbortController();
  const sweeps = c.nodes.map((n) => n.limiter.sweep(stop.signal));
  const admissions = await admitMany(
    c,
    c.nodes.map((n) => n.limiter),
  );
  admissions[0]!.settle(1);
  await c.clock.advance(1000);
  assert.ok((await admit(c, c.nodes[7]!.limiter)).isOk());
  stop.abort();
  await c.clock.advance(1);
  await Promise.all(sweeps);
});

test('tokens used beyond the expected ones are charged to the account on all nodes', async () => {
  const c = createCluster(2);
  const stop = new AbortController();
  const sweeps = c.nodes.map((n) => n.limiter.sweep(stop.signal));
  const [admission] = await admitMany(c, [c.nodes[0]!.limiter]);
  admission!.settle(5000);
  await c.clock.advance(300);
  const refused = (await admit(c, c.nodes[1]!.limiter))._unsafeUnwrapErr();
  assert.equal(refused.limit, 'tokens');
  assert.ok(refused.retryAfterMs > 2000);
  stop.abort();
  await c.clock.advance(1);
  await Promise.all(sweeps);
});

test('limits neither block an account nor are lifted when its owner is lost', async () => {
  const c = createCluster(8);
  const others = c.nodesExcept(c.owner);
  const admissions = await admitMany(
    c,
    others.slice(0, 3).map((n) => n.limiter),
  );
  assert.equal(admissions.length, 3);
  const removeFromLive = c.disconnect(c.owner);
  assert.ok((await admit(c, others[3]!.limiter)).isOk());
  removeFromLive();
  await c.clock.advance(1000);
  const refused = await admit(c, others[4]!.limiter);
  assert.equal(refused._unsafeUnwrapErr().limit, 'concurrency');
});

test('permits that a lost node held are released', async () => {
  const c = createCluster(8);
  const others = c.nodesExcept(c.owner);
  const user = others[0]!;
  await admitMany(
    c,
    Array.from({ length: quota.concurrency }, () => user.limiter),
  );
  assert.ok((await admit(c, others[1]!.limiter)).isErr());
  c.disconnect(user.self)();
  assert.ok((await admit(c, others[1]!.limiter)).isOk());
});

test('an idle account waits for a new owner, and is not admitted beyond its limit', async () => {
  const c = createCluster(8);
  c.disconnect(c.owner)();
  const limiters = c.nodesExcept(c.owner).map((n) => n.limiter);
  const request = { account, tier, quota, expectedTokens: 1 };
  const all = Promise.all(limiters.map((l) => l.admit(request)));
  await c.clock.advance(1000);
  // The buckets of the new owner start empty, and hold 3 requests when it has recovered for 300 ms.
  assert.equal((await all).filter((a) => a.isOk()).length, 3);
});

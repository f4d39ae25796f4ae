import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AccountId, HeldClock, NodeId, SeededRandom, TierId, rendezvous } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import { Bucket, Limiter, QuotaServer } from '../src/index.js';
import type { Admission, Quota } from '../src/index.js';

const account = AccountId('grower');
const tier = TierId('urgent');
const contract: Quota = { concurrency: 4, requestsPerSecond: 10, tokensPerSecond: 1000 };

function fleet(count: number) {
  const clock = HeldClock.create();
  const network = MemoryNetwork.create(clock, SeededRandom.create(1));
  const names = Array.from({ length: count }, (_, i) => NodeId(`n${i}`));
  let live = names;
  let before = names;
  const nodes = names.map((self) => {
    const transport = network.attach(self);
    const keeperOf = (a: AccountId) => rendezvous(a, live)[0];
    const keeper = QuotaServer.create({
      self,
      clock,
      transport,
      ownerOf: keeperOf,
      previousOwnerOf: (a) => rendezvous(a, before)[0],
      quotaOf: () => contract,
      isLive: (n) => live.includes(n),
    });
    return { self, keeper, limiter: Limiter.create({ clock, transport, ownerOf: keeperOf }) };
  });
  const kill = (gone: NodeId) => {
    network.detach(gone);
    return () => {
      before = live;
      live = live.filter((n) => n !== gone);
      for (const n of nodes.filter((x) => live.includes(x.self))) {
        n.keeper.onNodesChanged();
        n.limiter.onNodesChanged();
      }
    };
  };
  const others = (gone: NodeId) => nodes.filter((n) => n.self !== gone);
  return { clock, nodes, kill, others, keeper: rendezvous(account, names)[0]! };
}

type Fleet = ReturnType<typeof fleet>;

async function admit(f: Fleet, limiter: Limiter, expectedTokens = 1) {
  const request = { account, tier, quota: contract, expectedTokens };
  const admitted = limiter.admit(request);
  await f.clock.advance(600);
  return admitted;
}

async function admitMany(f: Fleet, limiters: readonly Limiter[]) {
  const admissions: Admission[] = [];
  for (const limiter of limiters) {
    (await admit(f, limiter)).map((a) => admissions.push(a));
  }
  return admissions;
}

test('a bucket fills at its rate, and a debt is paid off first', () => {
  const b = Bucket.create(10, 10, 10, 0).take(20, 0);
  assert.equal(b.levelAt(0), -10);
  assert.equal(b.waitMs(1, 0), 1100);
  assert.equal(b.levelAt(5000), 10);
});

test('concurrency is held across all nodes together', async () => {
  const f = fleet(8);
  const admissions = await admitMany(
    f,
    f.nodes.map((n) => n.limiter),
  );
  assert.equal(admissions.length, contract.concurrency);
  const over = await admit(f, f.nodes[7]!.limiter);
  assert.equal(over._unsafeUnwrapErr().limit, 'concurrency');
});

test('a settled request makes room on another node', async () => {
  const f = fleet(8);
  const stop = new AbortController();
  const sweeps = f.nodes.map((n) => n.limiter.sweep(stop.signal));
  const admissions = await admitMany(
    f,
    f.nodes.map((n) => n.limiter),
  );
  admissions[0]!.settle(1);
  await f.clock.advance(1000);
  assert.ok((await admit(f, f.nodes[7]!.limiter)).isOk());
  stop.abort();
  await f.clock.advance(1);
  await Promise.all(sweeps);
});

test('tokens used beyond what was expected are a debt of the account', async () => {
  const f = fleet(2);
  const stop = new AbortController();
  const sweeps = f.nodes.map((n) => n.limiter.sweep(stop.signal));
  const [one] = await admitMany(f, [f.nodes[0]!.limiter]);
  one!.settle(5000);
  await f.clock.advance(300);
  const over = (await admit(f, f.nodes[1]!.limiter))._unsafeUnwrapErr();
  assert.equal(over.limit, 'tokens');
  assert.ok(over.retryAfterMs > 2000);
  stop.abort();
  await f.clock.advance(1);
  await Promise.all(sweeps);
});

test('limits neither halt nor lift when the keeper is lost', async () => {
  const f = fleet(8);
  const asking = f.others(f.keeper);
  const before = await admitMany(
    f,
    asking.slice(0, 3).map((n) => n.limiter),
  );
  assert.equal(before.length, 3);
  const change = f.kill(f.keeper);
  assert.ok((await admit(f, asking[3]!.limiter)).isOk());
  change();
  await f.clock.advance(1000);
  const over = await admit(f, asking[4]!.limiter);
  assert.equal(over._unsafeUnwrapErr().limit, 'concurrency');
});

test('what a lost node held is free again', async () => {
  const f = fleet(8);
  const asking = f.others(f.keeper);
  const user = asking[0]!;
  await admitMany(
    f,
    Array.from({ length: contract.concurrency }, () => user.limiter),
  );
  assert.ok((await admit(f, asking[1]!.limiter)).isErr());
  f.kill(user.self)();
  assert.ok((await admit(f, asking[1]!.limiter)).isOk());
});

test('an idle account waits for a new keeper, and is not let in beyond its limit', async () => {
  const f = fleet(8);
  f.kill(f.keeper)();
  const asking = f.others(f.keeper).map((n) => n.limiter);
  const request = { account, tier, quota: contract, expectedTokens: 1 };
  const all = Promise.all(asking.map((l) => l.admit(request)));
  await f.clock.advance(1000);
  // The new keeper starts with empty buckets, which hold 3 requests after 300 ms.
  assert.equal((await all).filter((a) => a.isOk()).length, 3);
});

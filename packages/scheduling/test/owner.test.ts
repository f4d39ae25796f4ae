import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  AccountId,
  DataCentreId,
  HeldClock,
  ModelId,
  NodeId,
  PriceListId,
  ReplicaId,
  RequestId,
  SeededRandom,
  TierId,
  UpstreamId,
  digestOf,
} from '@tanagercart/base';
import type { GrantId } from '@tanagercart/base';
import { MemoryNetwork } from '@tanagercart/protocol';
import type { AcquireCall, AcquireReply } from '@tanagercart/protocol';
import { SharedState } from '@tanagercart/state';
import { Owner } from '../src/index.js';

const self = NodeId('owner');
const entry = NodeId('entry');
const model = ModelId('fig');
const limits = {
  price: 1,
  concurrency: 9,
  requestsPerSecond: 9,
  tokensPerSecond: 9,
  retryBudget: 0,
};
const noChanges = { priceLists: [], clientAccounts: [], models: [], services: [] };

function stateOf(slots: number): SharedState {
  const state = SharedState.create();
  const tiers = [
    { id: TierId('urgent'), urgency: 0, firstTokenMs: 600, tokenGapMs: 1000, ...limits },
    { id: TierId('patient'), urgency: 2, firstTokenMs: 60_000, tokenGapMs: 5000, ...limits },
  ];
  const priceList = PriceListId('list');
  const account = (id: string, weight: number) => ({
    id: AccountId(id),
    priceList,
    defaultTier: TierId('urgent'),
    keyDigest: digestOf(id),
    weight,
  });
  const added = {
    ...noChanges,
    priceLists: [{ id: priceList, tiers }],
    clientAccounts: [account('small', 1), account('large', 1)],
    models: [{ id: model, layers: 2, versions: ['1'], adapters: [] }],
  };
  const note = { number: 1, author: 'op', added, changed: noChanges, withdrawn: noChanges };
  state.apply(1, { kind: 'accept-release', note, digest: digestOf('1'), at: 0 });
  for (const [i, id] of [self, entry].entries()) {
    const node = { id, dataCentre: DataCentreId('north'), peer: '', entry: '' };
    state.apply(2 + i, { kind: 'node-up', node, incarnation: '1' });
  }
  const stage = { model, versions: ['1'], adapters: [], from: 0, to: 2, accelerator: 'a' };
  const role = { kind: 'stage', stage: { ...stage, tokensPerSecond: slots * 50, slots } } as const;
  const id = UpstreamId('u');
  const upstream = { id, incarnation: '1', url: 'http://u', dataCentre: 'north', role };
  state.apply(4, { kind: 'upstream-up', upstream });
  const replicas = [{ id: ReplicaId('r'), model, stages: [id] }];
  state.apply(5, { kind: 'plan', model, replicas });
  return state;
}

function setUp(slots: number) {
  const clock = HeldClock.create();
  const network = MemoryNetwork.create(clock, SeededRandom.create(1));
  const state = stateOf(slots);
  const lease = { valid: true, owns: true };
  const owner = Owner.create({
    self,
    state,
    clock,
    transport: network.attach(self),
    canGrant: () => lease.valid,
    owns: () => lease.owns,
    isLeaving: () => false,
  });
  const transport = network.attach(entry);
  const preempted: GrantId[] = [];
  transport.serve('preempt', async (_, call) => {
    preempted.push(call.grant);
    return { known: true };
  });
  // Grants that the entry reports to an audit; undefined where it does not answer.
  const entryGrants: { held: readonly GrantId[] | undefined } = { held: [] };
  transport.serve('audit', async () => {
    if (!entryGrants.held) return new Promise(() => undefined);
    return { held: entryGrants.held };
  });
  const acquire = (request: string, overrides: Partial<AcquireCall> = {}) => {
    const replies: AcquireReply[] = [];
    const call: AcquireCall = {
      request: RequestId(request),
      attempt: 0,
      account: AccountId('small'),
      tier: TierId('urgent'),
      model,
      version: '1',
      adapter: undefined,
      release: 1,
      prefix: [],
      promptTokens: 10,
      maxTokens: 20,
      budgetMs: overrides.tier === 'patient' ? 60_000 : 600,
      avoid: [],
      ...overrides,
    };
    void transport
      .call(self, 'acquire', call, { timeoutMs: 1000 })
      .then((r) => r.isOk() && replies.push(r.value));
    return replies;
  };
  const release = async (reply: AcquireReply | undefined) => {
    const grant = grantOf(reply);
    assert.ok(grant);
    const call = { grant, end: 'complete', tokens: 10, firstTokenMs: 20 } as const;
    void transport.call(self, 'release', call, { timeoutMs: 1000 });
    await clock.advance(2);
  };
  return { clock, owner, acquire, release, preempted, entryGrants, lease, state };
}

const patient = { tier: TierId('patient') };

test('a request waits until a slot is released', async () => {
  const { clock, acquire, release, owner } = setUp(1);
  const first = acquire('a');
  await clock.advance(2);
  const second = acquire('b');
  await clock.advance(2);
  assert.equal(second.length, 0);
  await release(first[0]);
  assert.equal(second[0]?.kind, 'granted');
  assert.equal(owner.grantsInUse, 1);
});

test('an owner without a lease refuses all requests', async () => {
  const { clock, acquire, lease } = setUp(1);
  lease.valid = false;
  const reply = acquire('a');
  await clock.advance(2);
  assert.deepEqual(reply[0], { kind: 'refused', reason: 'no-lease', retryAfterMs: 100 });
});

test('a change of ownership takes effect without a state change (not cached)', async () => {
  const { clock, acquire, lease } = setUp(1);
  lease.owns = false;
  const before = acquire('a');
  await clock.advance(2);
  assert.equal(before[0]?.kind, 'refused');
  lease.owns = true;
  const after = acquire('b');
  await clock.advance(2);
  assert.equal(after[0]?.kind, 'granted');
});

test('a repeated call gets the same grant', async () => {
  const { clock, acquire, owner } = setUp(2);
  const first = acquire('a');
  const again = acquire('a');
  await clock.advance(2);
  assert.equal(grantOf(again[0]), grantOf(first[0]));
  assert.equal(owner.grantsInUse, 1);
});

test('an urgent request preempts a less urgent one and gets its slot', async () => {
  const { clock, acquire, release, preempted } = setUp(1);
  const preemptible = acquire('slow', patient);
  await clock.advance(2);
  const urgent = acquire('quick');
  await clock.advance(2);
  assert.deepEqual(preempted, [grantOf(preemptible[0])]);
  await release(preemptible[0]);
  assert.equal(urgent[0]?.kind, 'granted');
});

test('a request that was preempted three times is not preempted again', async () => {
  const { clock, acquire, preempted } = setUp(1);
  acquire('slow', { ...patient, preemptions: 3 });
  await clock.advance(2);
  acquire('quick');
  await clock.advance(2);
  assert.deepEqual(preempted, []);
});

test('a request that would miss its deadline is refused with a retry-after time', async () => {
  const { clock, acquire } = setUp(1);
  acquire('a');
  await clock.advance(2);
  const late = acquire('b', { budgetMs: 10 });
  await clock.advance(2);
  assert.equal(late[0]?.kind === 'refused' && late[0].reason, 'promise-unreachable');
  assert.ok(late[0]?.kind === 'refused' && late[0].retryAfterMs >= 100);
});

test('a backlog of one account does not delay another account', async () => {
  const { clock, acquire, release } = setUp(1);
  const backlogged = { ...patient, account: AccountId('large') };
  const running = acquire('0', backlogged);
  await clock.advance(2);
  const backlog = [acquire('1', backlogged), acquire('2', backlogged)];
  const other = acquire('3', patient);
  await clock.advance(2);
  await release(running[0]);
  assert.deepEqual([backlog[1], other[0]?.kind], [[], 'granted']);
});

test('the grants of an entry that crashed are removed', async () => {
  const { clock, acquire, owner, state } = setUp(1);
  acquire('a');
  await clock.advance(2);
  state.apply(6, { kind: 'node-down', node: entry, incarnation: '1', stopped: false });
  const next = acquire('b');
  await clock.advance(2);
  assert.equal(next[0]?.kind, 'granted');
  assert.equal(owner.grantsInUse, 1);
});

test('a request that would wait is queued only if no other owners are left', async () => {
  const { clock, acquire, owner } = setUp(1);
  acquire('a');
  await clock.advance(2);
  const refused = acquire('b', { othersLeft: true });
  const queued = acquire('c');
  await clock.advance(2);
  assert.equal(refused[0]?.kind, 'refused');
  assert.deepEqual([queued, owner.queueLength], [[], 1]);
});

test('an urgent request is not sent to other owners if it can preempt', async () => {
  const { clock, acquire, preempted } = setUp(1);
  acquire('slow', patient);
  await clock.advance(2);
  acquire('quick', { othersLeft: true });
  await clock.advance(2);
  assert.equal(preempted.length, 1);
});

test('an audit removes a grant that is unknown to its entry and keeps the others', async () => {
  const { clock, acquire, owner, entryGrants, release } = setUp(2);
  const held = acquire('a');
  acquire('b');
  await clock.advance(2);
  entryGrants.held = [grantOf(held[0])!];
  const stop = new AbortController();
  void owner.audit(stop.signal);
  await clock.advance(1990);
  assert.equal(owner.grantsInUse, 1);
  await release(held[0]);
  assert.equal(owner.grantsInUse, 0);
  stop.abort();
});

test('an audit keeps the grants of an entry that does not answer', async () => {
  const { clock, acquire, owner, entryGrants } = setUp(1);
  acquire('a');
  await clock.advance(2);
  entryGrants.held = undefined;
  const stop = new AbortController();
  void owner.audit(stop.signal);
  await clock.advance(10_000);
  assert.equal(owner.grantsInUse, 1);
  stop.abort();
});

test('an owner reports its waiting and running requests by tier', async () => {
  const { clock, acquire, owner } = setUp(1);
  acquire('a');
  await clock.advance(2);
  acquire('b', patient);
  await clock.advance(2);
  assert.deepEqual(owner.queues(), [
    { tier: 'patient', waiting: 1, running: 0 },
    { tier: 'urgent', waiting: 0, running: 1 },
  ]);
  assert.deepEqual([...owner.runningByReplica()], [['r', 1]]);
});

test('a request that polls for a full replica is refused by the end of its budget', async () => {
  const { clock, acquire } = setUp(1);
  acquire('a', { preemptions: 3 });
  await clock.advance(2);
  const replies = [acquire('b', { ...patient, budgetMs: 20_000 })];
  for (let ms = 0; ms < 20_500 && replies.at(-1)![0]?.kind !== 'refused'; ms += 300) {
    await clock.advance(300);
    const budgetMs = 20_000 - ms - 300;
    if (replies.at(-1)![0]?.kind === 'queued') replies.push(acquire('b', { ...patient, budgetMs }));
  }
  assert.equal(replies.at(-1)![0]?.kind, 'refused');
});

test('a backlog causes the refusal of a less urgent request before an urgent one', async () => {
  const { clock, acquire } = setUp(1);
  acquire('a');
  await clock.advance(2);
  for (let i = 0; i < 3; i += 1) acquire(`w${i}`, { budgetMs: 20_000 });
  await clock.advance(2);
  const low = acquire('low', { ...patient, budgetMs: 1500 });
  const high = acquire('high', { budgetMs: 20_000 });
  await clock.advance(2);
  const reply = low[0];
  assert.ok(reply?.kind === 'refused' && reply.retryAfterMs > 100);
  assert.deepEqual(high, []);
});

function grantOf(reply: AcquireReply | undefined): GrantId | undefined {
  return reply?.kind === 'granted' ? reply.grant.id : undefined;
}

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
const none = { priceLists: [], clientAccounts: [], models: [], services: [] };

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
    ...none,
    priceLists: [{ id: priceList, tiers }],
    clientAccounts: [account('small', 1), account('large', 1)],
    models: [{ id: model, layers: 2, versions: ['1'], adapters: [] }],
  };
  const note = { number: 1, author: 'op', added, changed: none, withdrawn: none };
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
  const audited: { held: readonly GrantId[] | undefined } = { held: [] };
  transport.serve('audit', async () => {
    if (!audited.held) return new Promise(() => undefined);
    return { held: audited.held };
  });
  const ask = (request: string, wanted: Partial<AcquireCall> = {}) => {
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
      budgetMs: wanted.tier === 'patient' ? 60_000 : 600,
      avoid: [],
      ...wanted,
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
  return { clock, owner, ask, release, preempted, audited, lease, state };
}

const patient = { tier: TierId('patient') };

test('a replica never holds more grants than slots, and a release passes its slot on', async () => {
  const { clock, ask, release, owner } = setUp(1);
  const first = ask('a');
  await clock.advance(2);
  const second = ask('b');
  await clock.advance(2);
  assert.equal(second.length, 0);
  await release(first[0]);
  assert.equal(second[0]?.kind, 'granted');
  assert.equal(owner.grantsInUse, 1);
});

test('no grant is given without a lease', async () => {
  const { clock, ask, lease } = setUp(1);
  lease.valid = false;
  const reply = ask('a');
  await clock.advance(2);
  assert.deepEqual(reply[0], { kind: 'refused', reason: 'no-lease', retryAfterMs: 100 });
});

test('a replica is granted as soon as its new owner may, though the state stands still', async () => {
  const { clock, ask, lease } = setUp(1);
  lease.owns = false;
  const before = ask('a');
  await clock.advance(2);
  assert.equal(before[0]?.kind, 'refused');
  lease.owns = true;
  const after = ask('b');
  await clock.advance(2);
  assert.equal(after[0]?.kind, 'granted');
});

test('a call that is repeated gets the same grant', async () => {
  const { clock, ask, owner } = setUp(2);
  const first = ask('a');
  const again = ask('a');
  await clock.advance(2);
  assert.equal(grantOf(again[0]), grantOf(first[0]));
  assert.equal(owner.grantsInUse, 1);
});

test('urgent work takes the place of patient work, which gives its slot back', async () => {
  const { clock, ask, release, preempted } = setUp(1);
  const slow = ask('slow', patient);
  await clock.advance(2);
  const quick = ask('quick');
  await clock.advance(2);
  assert.deepEqual(preempted, [grantOf(slow[0])]);
  await release(slow[0]);
  assert.equal(quick[0]?.kind, 'granted');
});

test('work that was preempted often enough is left to its end', async () => {
  const { clock, ask, preempted } = setUp(1);
  ask('slow', { ...patient, preemptions: 3 });
  await clock.advance(2);
  ask('quick');
  await clock.advance(2);
  assert.deepEqual(preempted, []);
});

test('a promise that cannot be met is refused at once, with a time to wait', async () => {
  const { clock, ask } = setUp(1);
  ask('a');
  await clock.advance(2);
  const late = ask('b', { budgetMs: 10 });
  await clock.advance(2);
  assert.equal(late[0]?.kind === 'refused' && late[0].reason, 'promise-unreachable');
  assert.ok(late[0]?.kind === 'refused' && late[0].retryAfterMs >= 100);
});

test('a small account goes before the backlog of a large one', async () => {
  const { clock, ask, release } = setUp(1);
  const large = { ...patient, account: AccountId('large') };
  const running = ask('0', large);
  await clock.advance(2);
  const backlog = [ask('1', large), ask('2', large)];
  const small = ask('3', patient);
  await clock.advance(2);
  await release(running[0]);
  assert.deepEqual([backlog[1], small[0]?.kind], [[], 'granted']);
});

test('the grants of an entry that is gone lapse', async () => {
  const { clock, ask, owner, state } = setUp(1);
  ask('a');
  await clock.advance(2);
  state.apply(6, { kind: 'node-down', node: entry, incarnation: '1', stopped: false });
  const next = ask('b');
  await clock.advance(2);
  assert.equal(next[0]?.kind, 'granted');
  assert.equal(owner.grantsInUse, 1);
});

test('work that would wait long is sent on to other owners, and waits where there are none', async () => {
  const { clock, ask, owner } = setUp(1);
  ask('a');
  await clock.advance(2);
  const sentOn = ask('b', { othersLeft: true });
  const waits = ask('c');
  await clock.advance(2);
  assert.equal(sentOn[0]?.kind, 'refused');
  assert.deepEqual([waits, owner.queueLength], [[], 1]);
});

test('urgent work is not sent on where patient work gives its slot back', async () => {
  const { clock, ask, preempted } = setUp(1);
  ask('slow', patient);
  await clock.advance(2);
  ask('quick', { othersLeft: true });
  await clock.advance(2);
  assert.equal(preempted.length, 1);
});

test('a grant that its entry does not know lapses, others stay', async () => {
  const { clock, ask, owner, audited, release } = setUp(2);
  const kept = ask('a');
  ask('b');
  await clock.advance(2);
  audited.held = [grantOf(kept[0])!];
  const stop = new AbortController();
  void owner.audit(stop.signal);
  await clock.advance(1990);
  assert.equal(owner.grantsInUse, 1);
  await release(kept[0]);
  assert.equal(owner.grantsInUse, 0);
  stop.abort();
});

test('a grant of an entry that does not answer an audit stays', async () => {
  const { clock, ask, owner, audited } = setUp(1);
  ask('a');
  await clock.advance(2);
  audited.held = undefined;
  const stop = new AbortController();
  void owner.audit(stop.signal);
  await clock.advance(10_000);
  assert.equal(owner.grantsInUse, 1);
  stop.abort();
});

test('an owner tells what waits and runs', async () => {
  const { clock, ask, owner } = setUp(1);
  ask('a');
  await clock.advance(2);
  ask('b', patient);
  await clock.advance(2);
  assert.deepEqual(owner.queues(), [
    { tier: 'patient', waiting: 1, running: 0 },
    { tier: 'urgent', waiting: 0, running: 1 },
  ]);
  assert.deepEqual([...owner.runningByReplica()], [['r', 1]]);
});

test('patient work behind a full replica is refused once its promise is over', async () => {
  const { clock, ask } = setUp(1);
  ask('a', { preemptions: 3 });
  await clock.advance(2);
  const waits = [ask('b', { ...patient, budgetMs: 20_000 })];
  for (let ms = 0; ms < 20_500 && waits.at(-1)![0]?.kind !== 'refused'; ms += 300) {
    await clock.advance(300);
    const budgetMs = 20_000 - ms - 300;
    if (waits.at(-1)![0]?.kind === 'queued') waits.push(ask('b', { ...patient, budgetMs }));
  }
  assert.equal(waits.at(-1)![0]?.kind, 'refused');
});

test('under a backlog the lower tier is refused first', async () => {
  const { clock, ask } = setUp(1);
  ask('a');
  await clock.advance(2);
  for (let i = 0; i < 3; i += 1) ask(`w${i}`, { budgetMs: 20_000 });
  await clock.advance(2);
  const low = ask('low', { ...patient, budgetMs: 1500 });
  const high = ask('high', { budgetMs: 20_000 });
  await clock.advance(2);
  const told = low[0];
  assert.ok(told?.kind === 'refused' && told.retryAfterMs > 100);
  assert.deepEqual(high, []);
});

function grantOf(reply: AcquireReply | undefined): GrantId | undefined {
  return reply?.kind === 'granted' ? reply.grant.id : undefined;
}

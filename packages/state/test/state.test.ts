import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AccountId, ModelId, NodeId, ReplicaId, UpstreamId, digestOf } from '@tanagercart/base';
import { SharedState } from '../src/index.js';
import type { Command } from '../src/index.js';

const claim = (body: string, claimant = 'n1'): Command => ({
  kind: 'claim-order',
  order: { account: AccountId('grower'), key: 'k1' },
  digest: digestOf(body),
  claimant,
  at: 0,
});

const strike = (upstream: string): Command => ({
  kind: 'strike',
  fingerprint: digestOf('poison'),
  upstream: UpstreamId(upstream),
  at: 0,
});

test('an order is claimed once, and another request with its key is a conflict', () => {
  const state = SharedState.create();
  assert.equal(state.apply(1, claim('trays')).kind, 'order-claimed');
  assert.equal(state.apply(2, claim('trays', 'n2')).kind, 'order-known');
  assert.equal(state.apply(3, claim('knobs')).kind, 'order-conflict');
});

test('a request is quarantined once it has crashed two upstreams', () => {
  const state = SharedState.create();
  state.apply(1, strike('u1'));
  state.apply(2, strike('u1'));
  assert.equal(state.quarantine.isQuarantined(digestOf('poison')), false);
  state.apply(3, strike('u2'));
  assert.equal(state.quarantine.isQuarantined(digestOf('poison')), true);
});

test('a snapshot restores the same state, and an older one is ignored', () => {
  const state = SharedState.create();
  state.apply(1, claim('trays'));
  const copy = SharedState.create();
  copy.restore(1, state.snapshot());
  assert.deepEqual(copy.snapshot(), state.snapshot());
  copy.apply(2, strike('u1'));
  copy.restore(1, state.snapshot());
  assert.equal(copy.index, 2);
});

const loadOrder = (upstream: string, name = 'v1') =>
  ({
    upstream: UpstreamId(upstream),
    incarnation: '1',
    model: ModelId('fig'),
    action: 'load',
    part: { kind: 'version', name },
  }) as const;
const issue = (epoch: number, upstream: string): Command => ({
  kind: 'issue-upstream-order',
  epoch,
  order: loadOrder(upstream),
  loadLimit: 2,
});
const stageUp = (id: string, incarnation = '1', to = 4): Command => ({
  kind: 'upstream-up',
  upstream: {
    id: UpstreamId(id),
    incarnation,
    url: 'http://127.0.0.1:1',
    dataCentre: 'north',
    role: {
      kind: 'stage',
      stage: {
        model: ModelId('fig'),
        versions: [],
        adapters: [],
        from: 0,
        to,
        accelerator: 'a',
        tokensPerSecond: 1,
        slots: 1,
      },
    },
  },
});

test('orders to upstreams are issued only under the latest placement lease', () => {
  const state = SharedState.create();
  state.apply(1, { kind: 'take-placement', node: NodeId('n1') });
  assert.equal(state.apply(2, issue(1, 'u1')).kind, 'done');
  state.apply(3, { kind: 'take-placement', node: NodeId('n2') });
  assert.equal(state.apply(4, issue(1, 'u2')).kind, 'stale');
  assert.equal(state.apply(5, issue(3, 'u1')).kind, 'stale', 'the order is already pending');
  assert.equal(state.apply(6, issue(3, 'u2')).kind, 'done');
  assert.equal(state.apply(7, issue(3, 'u3')).kind, 'store-busy', 'loads of both leases count');
  const settle = { kind: 'settle-upstream-order', order: loadOrder('u1') } as const;
  assert.equal(state.apply(8, { ...settle, epoch: 1 }).kind, 'stale');
  assert.equal(state.apply(9, { ...settle, epoch: 3 }).kind, 'done');
  assert.equal(state.apply(10, issue(3, 'u3')).kind, 'done');
  const copy = SharedState.create();
  copy.restore(10, state.snapshot());
  assert.deepEqual(copy.placement.snapshot(), state.placement.snapshot());
});

test('a pending order is removed when its upstream restarts', () => {
  const state = SharedState.create();
  state.apply(1, stageUp('u1'));
  state.apply(2, { kind: 'take-placement', node: NodeId('n1') });
  state.apply(3, issue(2, 'u1'));
  state.apply(4, stageUp('u1'));
  assert.equal(state.placement.pendingLoads, 1);
  state.apply(5, stageUp('u1', '2'));
  assert.equal(state.placement.pendingLoads, 0);
});

test('a replica is removed when one of its stages changes its layers', () => {
  const state = SharedState.create();
  state.apply(1, stageUp('u1'));
  const replicas = [{ id: ReplicaId('r'), model: ModelId('fig'), stages: [UpstreamId('u1')] }];
  state.apply(2, { kind: 'plan', model: ModelId('fig'), replicas });
  state.apply(3, stageUp('u1'));
  assert.equal(state.replicas.size, 1);
  state.apply(4, stageUp('u1', '1', 2));
  assert.equal(state.replicas.size, 0);
});

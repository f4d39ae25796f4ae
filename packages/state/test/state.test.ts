import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AccountId, UpstreamId, digestOf } from '@tanagercart/base';
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

test('an order is claimed once; another body under its key is a conflict', () => {
  const state = SharedState.create();
  assert.equal(state.apply(1, claim('trays')).kind, 'order-claimed');
  assert.equal(state.apply(2, claim('trays', 'n2')).kind, 'order-known');
  assert.equal(state.apply(3, claim('knobs')).kind, 'order-conflict');
});

test('a request is quarantined once it has crashed two upstreams', () => {
  const state = SharedState.create();
  state.apply(1, strike('u1'));
  state.apply(2, strike('u1'));
  assert.equal(state.quarantine.holds(digestOf('poison')), false);
  state.apply(3, strike('u2'));
  assert.equal(state.quarantine.holds(digestOf('poison')), true);
});

test('a snapshot restores the same state, and never goes back', () => {
  const state = SharedState.create();
  state.apply(1, claim('trays'));
  const copy = SharedState.create();
  copy.restore(1, state.snapshot());
  assert.deepEqual(copy.snapshot(), state.snapshot());
  copy.apply(2, strike('u1'));
  copy.restore(1, state.snapshot());
  assert.equal(copy.index, 2);
});

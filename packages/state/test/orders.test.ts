import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AccountId, NodeId, UpstreamId, digestOf } from '@tanagercart/base';
import { SharedState, claimExpiryMs, orderRetentionMs, quarantineMs } from '../src/index.js';
import type { Command, OrderOutcome } from '../src/index.js';

const orderKey = (key: string) => ({ account: AccountId('grower'), key });

const claim = (key: string, claimant: string, at = 0): Command => ({
  kind: 'claim-order',
  order: orderKey(key),
  digest: digestOf('trays'),
  claimant,
  at,
});

const settle = (key: string, claimant: string, outcome: OrderOutcome): Command => ({
  kind: 'settle-order',
  order: orderKey(key),
  claimant,
  outcome,
});

const strike = (prompt: string, upstream: string, at: number): Command => ({
  kind: 'strike',
  fingerprint: digestOf(prompt),
  upstream: UpstreamId(upstream),
  at,
});

function applyAll(...commands: readonly Command[]) {
  const state = SharedState.create();
  const outcomes = commands.map((c, i) => state.apply(i + 1, c));
  return { state, last: outcomes.at(-1)! };
}

test('a repeated claim succeeds for its claimant and fails for others', () => {
  assert.equal(applyAll(claim('k', 'a/1'), claim('k', 'a/1')).last.kind, 'order-claimed');
  assert.equal(applyAll(claim('k', 'a/1'), claim('k', 'b/1')).last.kind, 'order-known');
});

test('a claim expires as unknown at the time of a later claim, and can still be settled', () => {
  const { state } = applyAll(claim('k', 'a/1'), claim('other', 'b/1', claimExpiryMs));
  assert.deepEqual(state.orders.find(orderKey('k'))?.outcome, { kind: 'unknown' });
  state.apply(3, settle('k', 'a/1', { kind: 'not-run' }));
  assert.equal(state.apply(4, claim('k', 'b/1', claimExpiryMs)).kind, 'order-claimed');
});

test('the claims of a node that is down become unknown', () => {
  const node = NodeId('a');
  const { state } = applyAll(claim('k', 'a/1'), claim('j', 'b/1'), {
    kind: 'node-down',
    node,
    incarnation: '',
    stopped: false,
  });
  assert.deepEqual(state.orders.find(orderKey('k'))?.outcome, { kind: 'unknown' });
  assert.equal(state.orders.find(orderKey('j'))?.outcome, undefined);
});

test('an order is removed after the retention time', () => {
  const { last } = applyAll(claim('k', 'a/1'), claim('k', 'b/1', orderRetentionMs));
  assert.equal(last.kind, 'order-claimed');
});

test('a batch has one outcome for each of its commands', () => {
  const commands = [claim('k', 'a/1'), claim('k', 'b/1')];
  const { last } = applyAll({ kind: 'batch', commands });
  assert.deepEqual(last.kind === 'batch' && last.outcomes.map((o) => o.kind), [
    'order-claimed',
    'order-known',
  ]);
});

test('a quarantine expires at the time of a later command, and can be lifted', () => {
  const strikes = [strike('p', 'u1', 0), strike('p', 'u2', 10)];
  const { state } = applyAll(...strikes);
  assert.equal(state.quarantine.list().length, 1);
  assert.equal(state.quarantine.isQuarantined(digestOf('p'), quarantineMs + 10), false);
  state.apply(3, strike('q', 'u3', quarantineMs + 10));
  assert.equal(state.quarantine.list().length, 0);
  const lifted = applyAll(...strikes, { kind: 'lift-quarantine', fingerprint: digestOf('p') });
  assert.equal(lifted.state.quarantine.isQuarantined(digestOf('p')), false);
});

test('crashes of a faulty upstream are not counted against requests', () => {
  const crashes = [0, 1, 2].map((i) => strike(`q${i}`, 'bad', i * 10_000));
  const { state } = applyAll(...crashes, strike('p', 'bad', 30_000), strike('p', 'u1', 60_000));
  assert.deepEqual(state.quarantine.strikesOf(digestOf('p')), [UpstreamId('u1')]);
});

test('crashes during the loss of a rack are not counted against requests', () => {
  const rack = [1, 2, 3, 4].map((i) => strike('p', `u${i}`, i * 100));
  assert.equal(applyAll(...rack).state.quarantine.isQuarantined(digestOf('p')), false);
});

test('two crashes of one upstream count twice, two reports of the same crash once', () => {
  const batch = [strike('p', 'u1', 0), strike('p', 'u1', 5)];
  assert.equal(applyAll(...batch).state.quarantine.strikesOf(digestOf('p')).length, 1);
  const afterRestart = applyAll(...batch, strike('p', 'u1', 60_000));
  assert.equal(afterRestart.state.quarantine.isQuarantined(digestOf('p')), true);
});

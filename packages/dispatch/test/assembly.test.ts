import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GrantId, NodeId, ReplicaId, RequestId, UpstreamId } from '@tanagercart/base';
import type { Grant } from '@tanagercart/protocol';
import type { TokenFrame } from '@tanagercart/upstream';
import { Assembly } from '../src/index.js';

const stages = [
  { upstream: UpstreamId('a'), url: '', from: 0, to: 2 },
  { upstream: UpstreamId('b'), url: '', from: 2, to: 4 },
];

const grant: Grant = {
  id: GrantId('g'),
  replica: ReplicaId('r'),
  owner: NodeId('n'),
  epoch: 1,
  startWithinMs: 1000,
  priority: 0,
  stages,
};

const frame = (index: number, over: Partial<TokenFrame> = {}): TokenFrame => ({
  request: RequestId('q'),
  attempt: 1,
  index,
  token: `t${index}`,
  receipts: stages,
  ...over,
});

function createAssembly() {
  const assembly = Assembly.create(RequestId('q'));
  assembly.beginAttempt(grant);
  return assembly;
}

test('tokens are accepted in order and once', () => {
  const a = createAssembly();
  assert.equal(a.add(frame(0)).kind, 'next');
  assert.deepEqual(a.add(frame(0)), { kind: 'drop', reason: 'repeated' });
  assert.equal(a.add(frame(2)).kind, 'fault');
  assert.equal(a.add(frame(1)).kind, 'next');
  assert.deepEqual(a.passed, ['t0', 't1']);
});

test('frames of another request or an old attempt are dropped', () => {
  const a = createAssembly();
  assert.deepEqual(a.add(frame(0, { request: RequestId('z') })), {
    kind: 'drop',
    reason: 'other-request',
  });
  a.beginAttempt(grant);
  assert.deepEqual(a.add(frame(0)), { kind: 'drop', reason: 'old-attempt' });
});

test('a token whose receipts do not cover every layer once and in order is a fault', () => {
  assert.equal(createAssembly().add(frame(0, { receipts: [stages[0]!] })).kind, 'fault');
  assert.equal(createAssembly().add(frame(0, { receipts: [...stages].reverse() })).kind, 'fault');
});

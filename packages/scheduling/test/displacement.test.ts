import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  AccountId,
  GrantId,
  ModelId,
  NodeId,
  ReplicaId,
  RequestId,
  TierId,
} from '@tanagercart/base';
import type { AcquireCall } from '@tanagercart/protocol';
import type { Placement } from '../src/admission.js';
import type { Candidate } from '../src/candidates.js';
import { findFasterReplica } from '../src/displacement.js';
import { ReplicaLoad } from '../src/replica.js';

const call = {
  promptTokens: 10,
  prefix: [],
  avoid: [] as readonly ReplicaId[],
} as unknown as AcquireCall;
const wish = { call, tokenGapMs: 1000, expectedTokens: 100, reservedSlots: 0 };

/** A replica of one slot whose grant was given at 0, with an estimate of `estimate` tokens. */
function full(estimate: number): Candidate {
  const id = ReplicaId('fast');
  const load = ReplicaLoad.create(id, 1, 100);
  const grant = {
    id: GrantId('g'),
    replica: id,
    owner: NodeId('o'),
    epoch: 1,
    startWithinMs: 1000,
    priority: 1,
    stages: [],
  };
  load.add({
    grant,
    key: 'k',
    entry: NodeId('e'),
    call: { ...call, request: RequestId('r'), account: AccountId('a'), tier: TierId('t') },
    urgency: 1,
    tokenGapMs: 1000,
    grantedAt: 0,
    lastSentAt: 0,
    expectedTokens: estimate,
    runningAtStart: 1,
    prefillTokensAtStart: 10,
    prefillEndsAt: 0,
    isPreempting: false,
    notPreemptedUntil: 0,
    incarnation: '1',
  });
  const replica = { id, model: ModelId('m'), stages: [] };
  return { replica, upstreams: [], stages: [], load };
}

const onSlow = (totalMs: number) => ({ totalMs }) as Placement;
const placeAt = (now: number, totalMs: number, candidate: Candidate) =>
  findFasterReplica(1, wish, onSlow(totalMs), [candidate], new Map(), now);

test('work waits for a faster replica whose grant outlived its estimate', () => {
  const fast = full(10);
  assert.equal(placeAt(500, 5000, fast)?.victim?.load, fast.load);
});

test('a grant within its estimate is not taken back for speed', () => {
  assert.equal(placeAt(500, 5000, full(100)), undefined);
});

test('work does not wait for a small gain', () => {
  assert.equal(placeAt(500, 1100, full(10)), undefined);
});

test('a slot on its way is waited for by one request only', () => {
  const fast = full(10);
  for (const held of fast.load.heldGrants) held.isPreempting = true;
  const place = (claimed: number) =>
    findFasterReplica(1, wish, onSlow(5000), [fast], new Map([[fast.load, claimed]]), 500);
  assert.deepEqual(place(0), { load: fast.load, victim: undefined });
  assert.equal(place(1), undefined);
});

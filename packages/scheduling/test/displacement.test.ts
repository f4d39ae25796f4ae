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
const request = { call, tokenGapMs: 1000, expectedTokens: 100, reservedSlots: 0 };

/** A replica whose only slot was granted at 0 ms to a request with `expectedTokens`. */
function fullReplica(expectedTokens: number): Candidate {
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
    attemptKey: 'k',
    entry: NodeId('e'),
    call: { ...call, request: RequestId('r'), account: AccountId('a'), tier: TierId('t') },
    urgency: 1,
    tokenGapMs: 1000,
    grantedAt: 0,
    lastSentAt: 0,
    expectedTokens,
    runningAtGrant: 1,
    prefillTokensAtGrant: 10,
    prefillEndsAt: 0,
    isBeingPreempted: false,
    preemptRetryAt: 0,
    incarnation: '1',
  });
  const replica = { id, model: ModelId('m'), stages: [] };
  return { replica, upstreams: [], stages: [], load };
}

const placementOnSlow = (totalMs: number) => ({ totalMs }) as Placement;
const fasterReplicaAt = (now: number, totalMs: number, candidate: Candidate) =>
  findFasterReplica(1, request, placementOnSlow(totalMs), [candidate], new Map(), now);

test('a request waits for a faster replica whose grant has overrun its estimate', () => {
  const fast = fullReplica(10);
  assert.equal(fasterReplicaAt(500, 5000, fast)?.victim?.load, fast.load);
});

test('a grant within its estimate is not preempted for a faster replica', () => {
  assert.equal(fasterReplicaAt(500, 5000, fullReplica(100)), undefined);
});

test('a request does not wait for a replica that is only slightly faster', () => {
  assert.equal(fasterReplicaAt(500, 1100, fullReplica(10)), undefined);
});

test('a slot being freed is not promised to two requests', () => {
  const fast = fullReplica(10);
  for (const held of fast.load.heldGrants) held.isBeingPreempted = true;
  const fasterReplica = (claimed: number) =>
    findFasterReplica(
      1,
      request,
      placementOnSlow(5000),
      [fast],
      new Map([[fast.load, claimed]]),
      500,
    );
  assert.deepEqual(fasterReplica(0), { load: fast.load, victim: undefined });
  assert.equal(fasterReplica(1), undefined);
});

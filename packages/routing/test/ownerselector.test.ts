import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, NodeId, SeededRandom, TierId, digestOf } from '@tanagercart/base';
import { OwnerSelector } from '../src/index.js';

const [a, b] = [NodeId('a'), NodeId('b')];
const tier = TierId('urgent');
const options = [a, b].map((node) => ({ node, sameDataCentre: false, replicas: 1 }));
const prefix = [digestOf('p')];

function setUp() {
  const clock = HeldClock.create();
  const selector = OwnerSelector.create(clock, SeededRandom.create(1));
  const granted = (node: NodeId, room: number) =>
    selector.recordReply(node, tier, { room, retryAfterMs: undefined });
  const first = (wanted = prefix) => selector.rank(options, tier, wanted)[0];
  return { clock, selector, granted, first };
}

test('the owner with more free slots is asked first', () => {
  const { granted, first } = setUp();
  granted(a, 1);
  granted(b, 3);
  assert.equal(first(), b);
});

test('requests sent since the last reply reduce the free slots of an owner', () => {
  const { selector, granted, first } = setUp();
  granted(a, 2);
  granted(b, 3);
  for (let i = 0; i < 2; i += 1) selector.recordRequest(b, tier);
  assert.equal(first(), a);
});

test('an owner that refused is asked last until its retry-after time has passed', async () => {
  const { clock, selector, granted, first } = setUp();
  granted(a, 1);
  selector.recordReply(b, tier, { room: 9, retryAfterMs: 300 });
  assert.equal(first(), a);
  await clock.advance(301);
  assert.equal(first(), b);
});

test('a cached prefix decides between owners with similar free slots, unless one is full', () => {
  const { selector, granted, first } = setUp();
  granted(a, 2);
  granted(b, 3);
  selector.recordPrefix(a, prefix);
  assert.equal(first(), a);
  assert.equal(first([]), b);
  granted(a, 0);
  assert.equal(first(), b);
  granted(a, 2);
  selector.recordEviction(a, prefix[0]!);
  assert.equal(first(), b);
});

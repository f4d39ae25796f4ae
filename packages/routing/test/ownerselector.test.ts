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
  const chooser = OwnerSelector.create(clock, SeededRandom.create(1));
  const granted = (node: NodeId, room: number) =>
    chooser.recordReply(node, tier, { room, retryAfterMs: undefined });
  const first = (wanted = prefix) => chooser.rank(options, tier, wanted)[0];
  return { clock, chooser, granted, first };
}

test('the owner with more room is asked first', () => {
  const { granted, first } = setUp();
  granted(a, 1);
  granted(b, 3);
  assert.equal(first(), b);
});

test('requests on their way count against the room of an owner', () => {
  const { chooser, granted, first } = setUp();
  granted(a, 2);
  granted(b, 3);
  for (let i = 0; i < 2; i += 1) chooser.recordRequest(b, tier);
  assert.equal(first(), a);
});

test('an owner that refused is asked last until its time is over', async () => {
  const { clock, chooser, granted, first } = setUp();
  granted(a, 1);
  chooser.recordReply(b, tier, { room: 9, retryAfterMs: 300 });
  assert.equal(first(), a);
  await clock.advance(301);
  assert.equal(first(), b);
});

test('a cached prefix decides between owners of like room, and not against a full one', () => {
  const { chooser, granted, first } = setUp();
  granted(a, 2);
  granted(b, 3);
  chooser.recordPrefix(a, prefix);
  assert.equal(first(), a);
  assert.equal(first([]), b);
  granted(a, 0);
  assert.equal(first(), b);
  granted(a, 2);
  chooser.recordEviction(a, prefix[0]!);
  assert.equal(first(), b);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GrantId, NodeId, settle } from '@tanagercart/base';
import { fingerprintOf } from '../src/index.js';
import { answerOf, collect, createFleet, generation, tokensOf } from './fleet.js';
import type { Fault, FaultPlan, Fleet } from './fleet.js';

async function run(fleet: Fleet, ...requests: readonly ReturnType<typeof generation>[]) {
  const done = requests.map((g, i) => collect(fleet.dispatches[i % fleet.dispatches.length]!, g));
  await fleet.clock.advance(60_000);
  return Promise.all(done);
}

/** A fault on the first attempt at one token. */
const once =
  (kind: Fault, at: number): FaultPlan =>
  (_, order, index) =>
    order.attempt === 1 && index === at ? kind : 'none';

for (const kind of ['crash', 'stall', 'repeat', 'cross', 'unreachable', 'refuse'] as const) {
  for (const at of [0, 3]) {
    test(`the answer is whole after ${kind} at token ${at}`, async () => {
      const fleet = createFleet({ fault: once(kind, at) });
      const [pieces] = await run(fleet, generation('q'));
      assert.deepEqual(tokensOf(pieces!), answerOf('q'));
      assert.equal(pieces!.at(-1)!.kind, 'end');
      assert.equal(fleet.held.size, 0);
    });
  }
}

test('a stalled attempt is cancelled at its engines, and its late frames are counted', async () => {
  const fleet = createFleet({ fault: once('stall', 3) });
  await run(fleet, generation('q'));
  assert.deepEqual(fleet.cancelled, ['q/1']);
  assert.equal(fleet.metrics.read('resume', { reason: 'stalled' }), 1);
  assert.ok(fleet.metrics.read('frame.dropped', { reason: 'old-attempt' }) > 0);
});

test('a preempted stream goes on under another grant, free of charge', async () => {
  const fleet = createFleet();
  const done = collect(fleet.dispatches[1]!, generation('q'));
  await fleet.clock.advance(35);
  const call = { grant: GrantId('g1') };
  const asked = fleet.network
    .at(NodeId('n0'))!
    .call(NodeId('n1'), 'preempt', call, { timeoutMs: 100 });
  await fleet.clock.advance(60_000);
  assert.equal((await asked)._unsafeUnwrap().known, true);
  assert.deepEqual(tokensOf(await done), answerOf('q'));
  const { preemptions, passedTokens } = fleet.calls.at(-1)!;
  assert.deepEqual([preemptions, passedTokens], [1, 3]);
  assert.equal(fleet.metrics.read('retry'), 0);
  assert.equal(fleet.metrics.read('retry.cause', { reason: 'preempted' }), 1);
});

test('a request that finds no room is refused not-run when its promise runs out', async () => {
  const fleet = createFleet({ slots: 0 });
  const [pieces] = await run(fleet, generation('q'));
  const [last] = pieces!;
  assert.equal(last!.kind === 'refused' && last!.refusal.run, 'not-run');
  assert.equal(last!.kind === 'refused' && last!.refusal.reason, 'deadline');
});

test('a caller that hangs up has its attempt cancelled and its grant given back', async () => {
  const fleet = createFleet();
  const hangUp = new AbortController();
  const done = collect(fleet.dispatches[0]!, generation('q'), hangUp.signal);
  await fleet.clock.advance(35);
  hangUp.abort();
  await fleet.clock.advance(1000);
  await done;
  assert.deepEqual(fleet.cancelled, ['q/1']);
  assert.equal(fleet.held.size, 0);
});

test('an answer goes on after the tokens that the caller has', async () => {
  const fleet = createFleet();
  const [pieces] = await run(fleet, generation('q', { passed: answerOf('q').slice(0, 4) }));
  assert.deepEqual(tokensOf(pieces!), answerOf('q').slice(4));
});

const poison: FaultPlan = (_, order) => (order.prompt === 'poison' ? 'crash' : 'none');

test('a poison request costs two upstreams, sent at once through every node', async () => {
  const fleet = createFleet({ nodes: 8, replicas: 12, fault: poison });
  const copies = Array.from({ length: 16 }, (_, i) => generation(`q${i}`, { prompt: 'poison' }));
  const answers = await run(fleet, ...copies);
  assert.equal(fleet.crashed.size, 2);
  assert.ok(answers.every((pieces) => pieces.at(-1)!.kind === 'refused'));
  assert.equal(fleet.state.quarantine.list().length, 1);
});

test('equal requests that crash nothing are all answered, and absolve a struck one', async () => {
  const fleet = createFleet({ nodes: 8, replicas: 12, fault: once('crash', 2) });
  const copies = Array.from({ length: 8 }, (_, i) => generation(`q${i}`, { prompt: 'p' }));
  const fine = createFleet({ nodes: 8, replicas: 12 });
  const answers = await run(fine, ...copies);
  for (const pieces of answers) assert.deepEqual(tokensOf(pieces), answerOf('p'));
  await run(fleet, copies[0]!);
  await settle();
  assert.equal(fleet.state.quarantine.strikesOf(fingerprintOf(copies[0]!)).length, 0);
});

test('where a strike cannot be recorded, the gate still counts it', async () => {
  const fleet = createFleet({ nodes: 8, replicas: 12, fault: poison, stateUp: () => false });
  const copies = Array.from({ length: 16 }, (_, i) => generation(`q${i}`, { prompt: 'poison' }));
  await run(fleet, ...copies);
  assert.equal(fleet.crashed.size, 2);
});

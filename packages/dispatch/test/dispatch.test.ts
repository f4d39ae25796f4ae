import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GrantId, NodeId, flushMicrotasks } from '@tanagercart/base';
import { fingerprintOf } from '../src/index.js';
import { answerOf, collect, createFleet, generation, tokensOf } from './fleet.js';
import type { Fault, FaultPlan, Fleet } from './fleet.js';

/** Sends the requests through the nodes in turn and collects their answers. */
async function run(fleet: Fleet, ...requests: readonly ReturnType<typeof generation>[]) {
  const done = requests.map((g, i) => collect(fleet.dispatches[i % fleet.dispatches.length]!, g));
  await fleet.clock.advance(60_000);
  return Promise.all(done);
}

/** A fault of the first attempt before the token `at`. */
const once =
  (kind: Fault, at: number): FaultPlan =>
  (_, order, index) =>
    order.attempt === 1 && index === at ? kind : 'none';

for (const kind of ['crash', 'stall', 'repeat', 'cross', 'unreachable', 'refuse'] as const) {
  for (const at of [0, 3]) {
    test(`the answer is complete after ${kind} at token ${at}`, async () => {
      const fleet = createFleet({ fault: once(kind, at) });
      const [events] = await run(fleet, generation('q'));
      assert.deepEqual(tokensOf(events!), answerOf('q'));
      assert.equal(events!.at(-1)!.kind, 'end');
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

test('a preempted stream continues under another grant and costs no retry budget', async () => {
  const fleet = createFleet();
  const done = collect(fleet.dispatches[1]!, generation('q'));
  await fleet.clock.advance(35);
  const call = { grant: GrantId('g1') };
  const asked = fleet.network
    .transportOf(NodeId('n0'))!
    .call(NodeId('n1'), 'preempt', call, { timeoutMs: 100 });
  await fleet.clock.advance(60_000);
  assert.equal((await asked)._unsafeUnwrap().known, true);
  assert.deepEqual(tokensOf(await done), answerOf('q'));
  const { preemptions, passedTokens } = fleet.calls.at(-1)!;
  assert.deepEqual([preemptions, passedTokens], [1, 3]);
  assert.equal(fleet.metrics.read('retry'), 0);
  assert.equal(fleet.metrics.read('retry.cause', { reason: 'preempted' }), 1);
});

test('a request without a free slot is refused as not run at its deadline', async () => {
  const fleet = createFleet({ slots: 0 });
  const [events] = await run(fleet, generation('q'));
  const [last] = events!;
  assert.equal(last!.kind === 'refused' && last!.refusal.run, 'not-run');
  assert.equal(last!.kind === 'refused' && last!.refusal.reason, 'deadline');
});

test('the attempt of a caller that disconnects is cancelled and its grant released', async () => {
  const fleet = createFleet();
  const caller = new AbortController();
  const done = collect(fleet.dispatches[0]!, generation('q'), caller.signal);
  await fleet.clock.advance(35);
  caller.abort();
  await fleet.clock.advance(1000);
  await done;
  assert.deepEqual(fleet.cancelled, ['q/1']);
  assert.equal(fleet.held.size, 0);
});

test('an answer continues after the tokens that the caller already has', async () => {
  const fleet = createFleet();
  const [events] = await run(fleet, generation('q', { passed: answerOf('q').slice(0, 4) }));
  assert.deepEqual(tokensOf(events!), answerOf('q').slice(4));
});

const poison: FaultPlan = (_, order) => (order.prompt === 'poison' ? 'crash' : 'none');

test('a poison request that is sent through every node at once crashes two upstreams', async () => {
  const fleet = createFleet({ nodes: 8, replicas: 12, fault: poison });
  const copies = Array.from({ length: 16 }, (_, i) => generation(`q${i}`, { prompt: 'poison' }));
  const answers = await run(fleet, ...copies);
  assert.equal(fleet.crashed.size, 2);
  assert.ok(answers.every((events) => events.at(-1)!.kind === 'refused'));
  assert.equal(fleet.state.quarantine.list().length, 1);
});

test('equal harmless requests are all answered, and a whole answer removes a strike', async () => {
  const fleet = createFleet({ nodes: 8, replicas: 12, fault: once('crash', 2) });
  const copies = Array.from({ length: 8 }, (_, i) => generation(`q${i}`, { prompt: 'p' }));
  const healthy = createFleet({ nodes: 8, replicas: 12 });
  const answers = await run(healthy, ...copies);
  for (const events of answers) assert.deepEqual(tokensOf(events), answerOf('p'));
  await run(fleet, copies[0]!);
  await flushMicrotasks();
  assert.equal(fleet.state.quarantine.strikesOf(fingerprintOf(copies[0]!)).length, 0);
});

test('the gate counts a strike that cannot be recorded', async () => {
  const fleet = createFleet({ nodes: 8, replicas: 12, fault: poison, stateUp: () => false });
  const copies = Array.from({ length: 16 }, (_, i) => generation(`q${i}`, { prompt: 'poison' }));
  await run(fleet, ...copies);
  assert.equal(fleet.crashed.size, 2);
});

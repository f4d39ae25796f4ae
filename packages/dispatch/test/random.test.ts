import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { SeededRandom } from '@tanagercart/base';
import { answerOf, collect, createFleet, generation, tokensOf } from './fleet.js';
import type { Fault, FaultPlan } from './fleet.js';

/** Number of random schedules; the environment can set more. */
const runs = Number(process.env.TANAGERCART_SCHEDULES ?? 200);
const seed = Number(process.env.TANAGERCART_SEED ?? 6);

const kinds: readonly Fault[] = ['crash', 'stall', 'repeat', 'cross', 'unreachable', 'refuse'];

const schedule = fc.record({
  seed: fc.integer(),
  share: fc.double({ min: 0, max: 0.15, noNaN: true }),
  loss: fc.double({ min: 0, max: 0.2, noNaN: true }),
  downAfter: fc.nat(2000),
  poisoned: fc.nat(2),
  requests: fc.array(
    fc.record({ node: fc.nat(3), after: fc.nat(300), abortAfter: fc.option(fc.nat(200)) }),
    { minLength: 1, maxLength: 12 },
  ),
});

test('under random faults, every answer is complete and in order, or its refusal is correct', async () => {
  const property = fc.asyncProperty(schedule, async (s) => {
    const random = SeededRandom.create(s.seed);
    const ran = new Set<string>();
    const crashedByPoison = new Set<string>();
    const fault: FaultPlan = (replica, order) => {
      if (order.prompt === 'poison') {
        ran.add(order.request);
        crashedByPoison.add(replica);
        return 'crash';
      }
      const kind =
        random.next() < s.share ? kinds[Math.floor(random.next() * kinds.length)]! : 'none';
      if (kind !== 'unreachable' && kind !== 'refuse') ran.add(order.request);
      return kind;
    };
    let up = true;
    const fleet = createFleet({
      seed: s.seed,
      nodes: 4,
      replicas: 8,
      fault,
      stateUp: () => up,
    });
    fleet.network.setQuality({ delayMs: 0.5, jitterMs: 20, loss: s.loss });
    const done: Promise<void>[] = [];
    for (const [i, { node, after, abortAfter }] of s.requests.entries()) {
      const prompt = i < s.poisoned ? 'poison' : `p${i}`;
      const g = generation(`q${i}`, { prompt });
      const caller = new AbortController();
      if (abortAfter !== null) void fleet.clock.sleep(abortAfter).then(() => caller.abort());
      const answer = collect(fleet.dispatches[node]!, g, caller.signal).then((events) => {
        const tokens = tokensOf(events);
        const last = events.at(-1);
        assert.deepEqual(tokens, answerOf(prompt).slice(0, tokens.length));
        if (last?.kind === 'end') assert.equal(tokens.length, answerOf(prompt).length);
        else if (last?.kind === 'refused' && last.refusal.run === 'not-run') {
          assert.ok(!ran.has(g.id), `${g.id} was run`);
        } else if (last?.kind !== 'refused') assert.ok(caller.signal.aborted);
      });
      done.push(answer);
      await fleet.clock.advance(after);
      if (fleet.clock.now() > s.downAfter) up = false;
    }
    await fleet.clock.advance(120_000);
    await Promise.all(done);
    assert.ok(crashedByPoison.size <= 2, `poison crashed ${crashedByPoison.size}`);
    assert.ok(fleet.dispatches.every((d) => d.inProgress === 0));
  });
  await fc.assert(property, { numRuns: runs, seed });
});

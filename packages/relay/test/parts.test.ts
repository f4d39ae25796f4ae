import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { HeldClock, SeededRandom, ServiceId } from '@tanagercart/base';
import {
  EventSplitter,
  Health,
  RetryBudget,
  StallDetector,
  decideRetry,
  jitter,
} from '../src/index.js';
import type { FailureContext, ProbeResult } from '../src/index.js';
import { events, upstreamOf } from './fixtures.js';

const one = upstreamOf('one');
const desk = ServiceId('desk');

test('events come whole, however their bytes are cut', () => {
  const text = events(0, 9);
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: 20 })), (sizes) => {
      const splitter = EventSplitter.create();
      const ids: (number | undefined)[] = [];
      let at = 0;
      for (const size of [...sizes, text.length]) {
        const chunk = text.slice(at, at + size);
        at += size;
        ids.push(...splitter.push(Buffer.from(chunk)).map((e) => e.id));
      }
      assert.deepEqual(ids, [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
      assert.equal(splitter.isPartial, false);
    }),
  );
});

test('repeats stay within a share of the requests and the slack', async () => {
  const clock = HeldClock.create();
  const bounds = { ratio: 0.2, slack: 40, windowMs: 10_000 };
  const budget = RetryBudget.create(clock, bounds, () => 4);
  for (let i = 0; i < 100; i += 1) budget.recordRequest(desk);
  let granted = 0;
  for (let i = 0; i < 200; i += 1) granted += budget.tryAcquire(desk) ? 1 : 0;
  assert.ok(granted <= 100 * 0.2 + 40 / 4);
  assert.ok(granted > 0);
  await clock.advance(10_000);
  assert.ok(budget.tryAcquire(desk), 'a new window has room again');
});

test('an upstream that failed is avoided for longer with each failure', async () => {
  const clock = HeldClock.create();
  const health = Health.create(clock);
  health.recordFailure(one, true);
  assert.equal(health.isAvoided(one), true);
  assert.equal(health.suspicions.length, 1);
  await clock.advance(1000);
  assert.equal(health.isAvoided(one), false);
  health.recordFailure(one, false);
  await clock.advance(1000);
  assert.equal(health.isAvoided(one), true);
  health.recordSuccess(one, 10);
  assert.equal(health.isAvoided(one), false);
  assert.equal(health.isAvoided({ ...one, born: 2 }), false);
});

const base: FailureContext = {
  failure: 'broken',
  repeatable: true,
  runs: 1,
  maxAttempts: 2,
  mayRunAgain: false,
  sends: 1,
  remainingMs: 1000,
};

test('only what may run again is sent again', () => {
  assert.equal(decideRetry(base), 'retry');
  assert.equal(decideRetry({ ...base, runs: 2 }), 'give-up');
  assert.equal(decideRetry({ ...base, runs: 2, mayRunAgain: true }), 'retry');
  assert.equal(decideRetry({ ...base, repeatable: false }), 'give-up');
  assert.equal(decideRetry({ ...base, remainingMs: 5 }), 'give-up');
  const notRun = { ...base, repeatable: false, failure: 'not-run', runs: 0 } as const;
  assert.equal(decideRetry(notRun), 'retry');
  assert.equal(decideRetry({ ...notRun, runs: 1 }), 'give-up');
});

async function watched(look: ProbeResult, quietMs: number, heard = false) {
  const clock = HeldClock.create();
  const patience = { firstEventMs: 200, gapMs: 120, probeAfterMs: 40 };
  const stop = new AbortController();
  const watch = StallDetector.create({
    clock,
    timeouts: patience,
    probe: () => Promise.resolve(look),
    stop,
  });
  if (heard) watch.recordActivity();
  await clock.advance(quietMs);
  watch.end();
  return watch.cause?.kind;
}

test('silence ends an attempt where a stage is not reached, or after its limit', async () => {
  assert.equal(await watched({ kind: 'blocked', address: 'x' }, 100), 'blocked');
  assert.equal(await watched({ kind: 'unreachable' }, 100), 'unreachable');
  assert.equal(await watched({ kind: 'waiting' }, 20), undefined);
  assert.equal(await watched({ kind: 'waiting' }, 150), undefined);
  assert.equal(await watched({ kind: 'waiting' }, 250), 'silent');
  assert.equal(await watched({ kind: 'waiting' }, 150, true), 'silent');
});

test('callers that are refused together are told to come back at different times', () => {
  const random = SeededRandom.create(4);
  const times = Array.from({ length: 100 }, () => jitter(random, 400));
  assert.ok(Math.min(...times) >= 240 && Math.max(...times) <= 560);
  // A tenth of the span gets about a tenth of the callers.
  const inTenth = (i: number) => times.filter((t) => t >= 240 + i * 32 && t < 272 + i * 32).length;
  for (let i = 0; i < 10; i += 1) assert.ok(inTenth(i) <= 25, `${inTenth(i)} of 100 at a time`);
});

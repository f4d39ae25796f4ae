import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { HeldClock, SeededRandom, ServiceId } from '@tanagercart/base';
import {
  EventSplitter,
  Health,
  RetryBudget,
  SilenceWatch,
  decideRetry,
  jitter,
} from '../src/index.js';
import type { FailureContext, ProbeResult } from '../src/index.js';
import { events, upstreamOf } from './fixtures.js';

const one = upstreamOf('one');
const desk = ServiceId('desk');

test('events are complete however the byte stream is split into chunks', () => {
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

test('an event ends at its first blank line however its bytes are split', () => {
  const pieces = fc.constantFrom('\n', '\r\n', '\r', 'a', 'id: 4');
  fc.assert(
    fc.property(fc.array(pieces), fc.array(fc.integer({ min: 1, max: 3 })), (parts, sizes) => {
      const text = parts.join('');
      const splitter = EventSplitter.create();
      const found: string[] = [];
      let at = 0;
      for (const size of [...sizes, text.length]) {
        const chunk = Buffer.from(text.slice(at, at + size));
        at += size;
        found.push(...splitter.push(chunk).map((e) => e.bytes.toString()));
      }
      const expected = text.match(/[^]*?\n\r?\n/g) ?? [];
      assert.deepEqual(found, expected);
      assert.equal(splitter.held, text.length - expected.join('').length);
    }),
    { numRuns: 500 },
  );
});

test('retries stay within the ratio of the requests and the slack', async () => {
  const clock = HeldClock.create();
  const bounds = { ratio: 0.2, slack: 40, windowMs: 10_000 };
  const budget = RetryBudget.create(clock, bounds, () => 4);
  for (let i = 0; i < 100; i += 1) budget.recordRequest(desk);
  let granted = 0;
  for (let i = 0; i < 200; i += 1) granted += budget.tryAcquire(desk) ? 1 : 0;
  assert.ok(granted <= 100 * 0.2 + 40 / 4);
  assert.ok(granted > 0);
  await clock.advance(10_000);
  assert.ok(budget.tryAcquire(desk), 'the next window grants retries again');
});

test('an upstream is avoided for longer with each consecutive failure', async () => {
  const clock = HeldClock.create();
  const health = Health.create(clock);
  health.recordFailure(one, 'gone');
  assert.equal(health.isAvoided(one), true);
  assert.equal(health.suspicions.length, 1);
  await clock.advance(1000);
  assert.equal(health.isAvoided(one), false);
  health.recordFailure(one, 'answered');
  await clock.advance(1000);
  assert.equal(health.isAvoided(one), true);
  health.recordSuccess(one, 10);
  assert.equal(health.isAvoided(one), false);
  assert.equal(health.isAvoided({ ...one, born: 2 }), false);
});

const context: FailureContext = {
  failure: 'broken',
  repeatable: true,
  runs: 1,
  maxAttempts: 2,
  mayRunAgain: false,
  sends: 1,
  misses: 0,
  remainingMs: 1000,
};

test('a request is retried only where it may run again', () => {
  assert.equal(decideRetry(context), 'retry');
  assert.equal(decideRetry({ ...context, runs: 2 }), 'give-up');
  assert.equal(decideRetry({ ...context, runs: 2, mayRunAgain: true }), 'retry');
  assert.equal(decideRetry({ ...context, repeatable: false }), 'give-up');
  assert.equal(decideRetry({ ...context, remainingMs: 5 }), 'give-up');
  const notRun = { ...context, repeatable: false, failure: 'not-run', runs: 0 } as const;
  assert.equal(decideRetry(notRun), 'retry');
  assert.equal(decideRetry({ ...notRun, runs: 1 }), 'give-up');
});

/** What a watch says of an attempt that is silent for `silentMs`, while probes end as given. */
async function watchSilence(result: ProbeResult, silentMs: number, started = false) {
  const clock = HeldClock.create();
  const said: string[] = [];
  const watch = SilenceWatch.create({
    clock,
    timeouts: { firstEventMs: 200, gapMs: 120, probeMs: 40 },
    probe: () => Promise.resolve(result),
    isHeldByCaller: () => false,
    onSilent: ({ kind }) => said.push(kind),
    onGone: () => said.push('gone'),
  });
  if (started) watch.recordActivity();
  await clock.advance(silentMs);
  watch.end();
  return said[0];
}

test('an attempt is silent once a stage is not reached or its limit has passed, and ends once its upstream has', async () => {
  assert.equal(await watchSilence({ kind: 'blocked', address: 'x' }, 100), 'blocked');
  assert.equal(await watchSilence({ kind: 'silent', detail: 'x' }, 100), 'silent');
  assert.equal(await watchSilence({ kind: 'gone', detail: 'x' }, 100), 'gone');
  assert.equal(await watchSilence({ kind: 'waiting' }, 20), undefined);
  assert.equal(await watchSilence({ kind: 'waiting' }, 150), undefined);
  assert.equal(await watchSilence({ kind: 'waiting' }, 250), 'overdue');
  assert.equal(await watchSilence({ kind: 'waiting' }, 150, true), 'overdue');
});

test('callers that are refused at the same time get different retry-after times', () => {
  const random = SeededRandom.create(4);
  const times = Array.from({ length: 100 }, () => jitter(random, 400));
  assert.ok(Math.min(...times) >= 240 && Math.max(...times) <= 560);
  // Each tenth of the range holds about a tenth of the 100 callers.
  const inTenth = (i: number) => times.filter((t) => t >= 240 + i * 32 && t < 272 + i * 32).length;
  for (let i = 0; i < 10; i += 1) assert.ok(inTenth(i) <= 25, `${inTenth(i)} of 100 at a time`);
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { CommitTimes, adoptionWaitMs } from '../src/index.js';
import { Fleet, documentOf, startEntries } from './fleet.js';
import { answerTimes, holdLeaderUp, patienceMs, submissionOf } from './operatorcalls.js';

/** Time within which operators wait for an acknowledgement. */
const ackMs: Millis = 6000;

const isLate = (ms: Millis) => ms > ackMs;

const submission = (step: number) => submissionOf(10 + step);

test('documents are acknowledged in time by a leader that is held up for most of the time', async () => {
  const times = await answerTimes(1, submission, holdLeaderUp);
  assert.deepEqual(times.filter(isLate), []);
});

test('documents are acknowledged in time while upstreams change 60 times a second', async () => {
  const times = await answerTimes(1, submission, (fleet, step) => {
    const changing = [0, 1, 2].map((i) => `c${(step * 3 + i) % 40}`);
    for (const upstream of changing) void fleet.announce(upstream, { born: 2 + step });
  });
  assert.deepEqual(times.filter(isLate), []);
});

test('an order that is sent again after its commit does not wait for the entries once more', async () => {
  const fleet = await Fleet.start(86);
  startEntries(fleet, 5);
  const [first, second] = fleet.nodes.values();
  const sentAt = fleet.clock.now();
  await fleet.settle(first!.submit(documentOf(7)));
  // The leader is new: entries that it does not know may hold a lease.
  assert.ok(fleet.clock.now() - sentAt >= adoptionWaitMs);
  await fleet.clock.advance(sentAt + patienceMs - fleet.clock.now());
  const resentAt = fleet.clock.now();
  await fleet.settle(second!.submit(documentOf(7)));
  assert.ok(fleet.clock.now() - resentAt < 100, `${fleet.clock.now() - resentAt} ms`);
});

test('a committed document that is sent again at once waits for the rest of the time', async () => {
  const fleet = await Fleet.start(88);
  startEntries(fleet, 5);
  const [first, second] = fleet.nodes.values();
  void first!.submit(documentOf(7));
  await fleet.clock.advance(300);
  const sentAt = fleet.clock.now();
  await fleet.settle(second!.submit(documentOf(7)));
  const waitedMs = fleet.clock.now() - sentAt;
  assert.ok(waitedMs >= adoptionWaitMs - 300 && waitedMs < adoptionWaitMs - 100, `${waitedMs} ms`);
});

test('a document counts as committed from when a voter first knew it or a later one', async () => {
  const clock = HeldClock.create();
  const times = CommitTimes.create(clock);
  assert.equal(times.ageMsOf(1), 0);
  times.record(2);
  await clock.advance(100);
  times.record(2);
  times.record(5);
  await clock.advance(100);
  times.record(4);
  assert.deepEqual(
    [1, 2, 3, 5, 6].map((v) => times.ageMsOf(v)),
    [200, 200, 100, 100, 0],
  );
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { CrashSuspicions } from '../src/index.js';

function create() {
  const clock = HeldClock.create();
  const crashes = CrashSuspicions.create(clock);
  const crash = async (parts: readonly string[], answered: readonly string[] = []) => {
    await clock.advance(200);
    return crashes.record({ parts, answered, attemptMs: 50, ageMs: 0 });
  };
  return { clock, crashes, crash };
}

test('a part that crashes one upstream after the other is found by the third crash', async () => {
  const { crashes, crash } = create();
  assert.deepEqual(await crash(['common', 'deadly', 'x']), []);
  crashes.acquit('common');
  assert.deepEqual(await crash(['common', 'deadly', 'y']), []);
  crashes.acquit('common');
  assert.deepEqual(await crash(['common', 'deadly', 'z']), ['deadly']);
  assert.deepEqual(crashes.suspected, []);
});

test('a loss of many upstreams at once strikes each part once', async () => {
  const { clock, crashes } = create();
  await clock.advance(1000);
  const lost = { parts: ['common', 'rare'], answered: [], attemptMs: 300, ageMs: 0 };
  for (let i = 0; i < 20; i += 1) assert.deepEqual(crashes.record(lost), []);
});

test('a common part is not quarantined by a burst of crashes that another part causes', async () => {
  const { crashes, crash } = create();
  for (let i = 0; i < 2; i += 1) await crash(['common', 'deadly'], ['common']);
  assert.deepEqual(await crash(['common', 'deadly']), ['deadly']);
  assert.deepEqual(crashes.suspected, []);
});

test('a part that was sound and now crashes every upstream is found', async () => {
  const { clock, crash } = create();
  await crash(['turned'], ['turned']);
  let guilty: readonly string[] = [];
  let elapsedMs: Millis = 0;
  for (; guilty.length === 0 && elapsedMs < 10_000; elapsedMs += 700) {
    await clock.advance(500);
    guilty = await crash(['turned']);
  }
  assert.deepEqual(guilty, ['turned']);
});

test('a retry that begins right after a crash counts, though the report arrives later', async () => {
  const { clock, crashes } = create();
  const parts = ['deadly'];
  const found: (readonly string[])[] = [];
  for (let i = 0; i < 3; i += 1) {
    await clock.advance(100);
    found.push(crashes.record({ parts, answered: [], attemptMs: 90, ageMs: 10 }));
  }
  assert.deepEqual(found.at(-1), ['deadly']);
});

/** Records three crashes in sequence that one request causes each. */
async function crashInSequence(requests: readonly string[], answered: readonly string[] = []) {
  const { clock, crashes } = create();
  const found: string[] = [];
  for (const request of requests) {
    await clock.advance(200);
    found.push(...crashes.record({ request, parts: ['rare'], answered, attemptMs: 50, ageMs: 0 }));
  }
  return { crashes, found };
}

test('a request that is repeated is found by the third crash, and not the parts of its prompt', async () => {
  const { crashes, found } = await crashInSequence(['f1', 'f1', 'f1']);
  assert.deepEqual(found, ['f1']);
  assert.deepEqual(crashes.suspected, ['rare']);
});

test('a part that different requests share is found rather than each of them', async () => {
  const { found } = await crashInSequence(['f1', 'f1', 'f2']);
  assert.deepEqual(found, ['rare']);
});

test('a request that was answered between crashes is sound', async () => {
  const { clock, crashes } = create();
  for (let i = 0; i < 6; i += 1) {
    await clock.advance(200);
    const crash = { request: 'hot', parts: [], answered: [], attemptMs: 50, ageMs: 0 };
    assert.deepEqual(crashes.record(crash), []);
    if (i % 2 === 1) crashes.acquit('hot');
  }
});

test('requests that a single crash strikes are not told to entries', async () => {
  const { clock, crashes } = create();
  await clock.advance(200);
  for (let i = 0; i < 100; i += 1) {
    crashes.record({ request: `f${i}`, parts: [], answered: [], attemptMs: 50, ageMs: 0 });
  }
  assert.deepEqual(crashes.suspected, []);
});

test('a suspicion ends after a while, though no further crash is reported', async () => {
  const { clock, crashes, crash } = create();
  await crash(['rare']);
  assert.deepEqual(crashes.suspected, ['rare']);
  await clock.advance(31_000);
  assert.deepEqual(crashes.suspected, []);
});

test('reports count once each, in whatever order they come', async () => {
  const { clock, crashes } = create();
  await clock.advance(10_000);
  const crashOf = (ageMs: Millis) => ({
    request: 'f1',
    parts: [],
    answered: [],
    attemptMs: 50,
    ageMs,
  });
  for (const ageMs of [200, 800, 200, 800]) assert.deepEqual(crashes.record(crashOf(ageMs)), []);
  assert.deepEqual(crashes.record(crashOf(500)), ['f1']);
});

test('a quarantine that did not reach the log is repeated with the next report', async () => {
  const { crashes, crash } = create();
  for (let i = 0; i < 2; i += 1) await crash(['deadly']);
  assert.deepEqual(await crash(['deadly']), ['deadly']);
  crashes.settle('deadly', false);
  assert.deepEqual(await crash(['deadly']), ['deadly']);
  crashes.settle('deadly', true);
  assert.deepEqual(await crash(['deadly']), []);
});

// Guards against a part that many share and that one crash strikes twice.
test('one crash strikes once, also attempts that began shortly before and after one another', async () => {
  const { clock, crashes } = create();
  const crashOf = (address: string, request: string, attemptMs: Millis) =>
    crashes.record({ request, address, parts: ['common'], answered: [], attemptMs, ageMs: 0 });
  await clock.advance(1000);
  assert.deepEqual(crashOf('a', 'f1', 60), []);
  await clock.advance(60);
  assert.deepEqual(crashOf('b', 'f1', 60), []);
  // Sent to the same upstream just before it crashed, and found broken a moment later.
  await clock.advance(15);
  assert.deepEqual(crashOf('b', 's1', 30), []);
});

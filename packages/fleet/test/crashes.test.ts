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

/** A crash at an upstream under requests whose answers had begun; each is reported by itself. */
interface BegunCrash {
  readonly address: string;
  readonly requests: readonly string[];
}

/** Records crashes one second apart, and returns what is found after each. */
async function crashStreams(crashes: readonly BegunCrash[]) {
  const { clock, crashes: suspicions } = create();
  const found: (readonly string[])[] = [];
  for (const { address, requests } of crashes) {
    await clock.advance(1000);
    const guilty = requests.flatMap((request) =>
      suspicions.record({
        ...{ request, address, hadBegun: true, parts: [], answered: [] },
        ...{ attemptMs: 500, ageMs: 0 },
      }),
    );
    found.push(guilty);
  }
  return { found, suspicions };
}

// Guards against a request that crashes upstreams in the middle of its answer and is never stopped.
test('a request that crashes upstreams after its answer has begun is found by the third crash', async () => {
  const { found } = await crashStreams([
    { address: 'a', requests: ['f1', 's1', 's2'] },
    { address: 'b', requests: ['s3', 'f1'] },
    { address: 'c', requests: ['s4', 'f1', 's5'] },
  ]);
  assert.deepEqual(found, [[], [], ['f1']]);
});

test('a stream that was struck by the same crashes is not found with the request that caused them', async () => {
  const { found, suspicions } = await crashStreams([
    { address: 'a', requests: ['unlucky', 'f1'] },
    { address: 'b', requests: ['unlucky', 'f1'] },
    { address: 'c', requests: ['unlucky', 'f1'] },
    { address: 'd', requests: ['f1'] },
    { address: 'e', requests: ['f1'] },
  ]);
  assert.deepEqual(found, [[], [], [], [], ['f1']]);
  assert.deepEqual(suspicions.suspected, []);
});

test('an upstream that is killed ten times makes no request guilty', async () => {
  const kills = Array.from({ length: 10 }, (_, i) => ({
    address: 'a',
    requests: [`s${i}`, `t${i}`, ...(i % 3 === 0 ? ['again'] : [])],
  }));
  const { found, suspicions } = await crashStreams(kills);
  assert.deepEqual(found.flat(), []);
  assert.deepEqual(
    suspicions.suspected.filter((s) => s !== 'again'),
    [],
  );
});

test('a stream that is struck by some of many crashes is not found by the third', async () => {
  const others = (address: string) => ({ address, requests: [`at-${address}`] });
  const { found } = await crashStreams([
    { address: 'a', requests: ['unlucky'] },
    ...['b', 'c'].map(others),
    { address: 'd', requests: ['unlucky'] },
    others('e'),
    { address: 'f', requests: ['unlucky'] },
  ]);
  assert.deepEqual(found.flat(), []);
});

test('a request that crashes the same two upstreams again and again is found', async () => {
  const addresses = ['a', 'b', 'a', 'b', 'a', 'b'];
  const { found } = await crashStreams(addresses.map((address) => ({ address, requests: ['f1'] })));
  assert.deepEqual(found.flat(), ['f1']);
});

test('a crash after answers had begun strikes no part', async () => {
  const { clock, crashes } = create();
  for (const address of ['a', 'b', 'c', 'd', 'e', 'f']) {
    await clock.advance(1000);
    for (const request of ['f1', `s-${address}`]) {
      crashes.record({
        ...{ request, address, hadBegun: true, parts: [], answered: [] },
        ...{ attemptMs: 500, ageMs: 0 },
      });
    }
    assert.ok(crashes.suspected.every((s) => s === 'f1'));
  }
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

// Guards against crashes that count twice as entries tell a new leader again what they saw.
test('a crash that is told again later counts once, and not where its request was answered since', async () => {
  const { clock, crashes } = create();
  const tell = (address: string, ageMs: Millis, request = 'r1') =>
    crashes.record({ request, address, parts: [], answered: [], attemptMs: 50, ageMs });
  await clock.advance(5000);
  tell('u1', 0);
  await clock.advance(3000);
  for (let i = 0; i < 5; i += 1) assert.deepEqual(tell('u1', 3000), []);
  assert.deepEqual(tell('u2', 2000), []);
  assert.deepEqual(crashes.suspected, ['r1']);
  crashes.acquit('r1', 1500);
  assert.deepEqual(crashes.suspected, []);
  assert.deepEqual([tell('u1', 3000), tell('u2', 2000), tell('u3', 1600)], [[], [], []]);
  assert.deepEqual([tell('u1', 1000), tell('u2', 500)], [[], []]);
  assert.deepEqual(tell('u3', 0), ['r1']);
});

test('a crash that a quarantined request explains strikes no other, in whatever order both are told', async () => {
  const clock = HeldClock.create();
  const crashes = CrashSuspicions.create(clock, (subject) => subject === 'deadly');
  const tell = (request: string, address: string) =>
    crashes.record({ request, address, parts: [], answered: [], attemptMs: 50, ageMs: 0 });
  for (const [i, address] of ['u1', 'u2', 'u3'].entries()) {
    await clock.advance(5000);
    const told = i % 2 === 0 ? ['sound', 'deadly'] : ['deadly', 'sound'];
    for (const request of told) assert.deepEqual(tell(request, address), []);
  }
  assert.deepEqual(crashes.suspected, []);
});

// Guards against a deadly request whose crashes are forgotten before it comes again.
test('a request that crashes two upstreams every half minute, or one in many minutes, is found', async () => {
  for (const pauses of [
    [1000, 31_000],
    [20 * 60_000, 20 * 60_000],
  ]) {
    const { clock, crashes } = create();
    const tell = (address: string) =>
      crashes.record({ request: 'r', address, parts: [], answered: [], attemptMs: 50, ageMs: 0 });
    await clock.advance(1000);
    assert.deepEqual(tell('u1'), []);
    await clock.advance(pauses[0]!);
    assert.deepEqual(tell('u2'), []);
    await clock.advance(pauses[1]!);
    assert.deepEqual(tell('u3'), ['r']);
  }
});

test('suspicions have a bound, and those of several crashes are kept', async () => {
  const { clock, crashes } = create();
  const tell = (request: string, address: string) =>
    crashes.record({ request, address, parts: [], answered: [], attemptMs: 50, ageMs: 0 });
  for (const address of ['u1', 'u2']) {
    await clock.advance(1000);
    tell('deadly', address);
  }
  await clock.advance(1000);
  for (let i = 0; i < 20_000; i += 1) tell(`r${i}`, 'u3');
  await clock.advance(1000);
  assert.deepEqual(crashes.suspected, ['deadly']);
  assert.ok(crashes.size <= 5000, `${crashes.size}`);
  tell('r0', 'u4');
  assert.deepEqual(crashes.suspected, ['deadly']);
  assert.deepEqual(tell('deadly', 'u4'), ['deadly']);
});

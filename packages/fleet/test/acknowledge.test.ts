import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HeldClock, NodeId } from '@tanagercart/base';
import type { Millis } from '@tanagercart/base';
import { CommitTimes, adoptionWaitMs } from '../src/index.js';
import { Fleet, documentOf, startEntries } from './fleet.js';
import { httpMs, sendHeartbeats, voters } from './hundreds.js';

/** Operators turn to another voter after this time without a response. */
const patienceMs: Millis = 1000;

/** Time within which operators wait for an acknowledgement. */
const ackMs: Millis = 6000;

/** Time for which operators try to read the document at the end of a day. */
const readMs: Millis = 3000;

/** Time to check a document on the smallest machines of today. */
const checkMs: Millis = 30;

/** The first pause of an operator between two calls, and its bound. */
const firstPauseMs: Millis = 100;
const maxPauseMs: Millis = 2000;

/** A call of an operator at one voter, as over HTTP; resolves to whether it is answered. */
type OperatorCall = (fleet: Fleet, to: NodeId) => Promise<boolean>;

function submissionOf(version: number): OperatorCall {
  return async (fleet, to) => {
    await fleet.processors.get(to)?.work(httpMs + checkMs);
    return (await fleet.nodes.get(to)!.submit(documentOf(version))).isOk();
  };
}

const read: OperatorCall = async (fleet, to) => {
  await fleet.processors.get(to)?.work(httpMs);
  return (await fleet.nodes.get(to)!.readDocument()).isOk();
};

/** Calls one voter after the other until one answers in time; resolves to the time that took. */
async function callUntilAnswered(fleet: Fleet, call: OperatorCall): Promise<Millis> {
  const { clock, random } = fleet;
  const startedAt = clock.now();
  let pauseMs = firstPauseMs;
  for (;;) {
    const to = NodeId(voters[Math.floor(random.next() * voters.length)]!);
    const isAnswered = await Promise.race([
      call(fleet, to),
      clock.sleep(patienceMs).then(() => false),
    ]);
    if (isAnswered) return clock.now() - startedAt;
    await clock.sleep(pauseMs);
    pauseMs = Math.min(maxPauseMs, pauseMs * 2);
  }
}

/** The times to the answers of a call a second, while `disturb` is called. */
async function answerTimes(
  seed: number,
  callAt: (step: number) => OperatorCall,
  disturb: (fleet: Fleet, step: number) => void,
): Promise<readonly Millis[]> {
  const costs = { watch: 2.5, beat: 2.5, record: 0.05 };
  const fleet = await Fleet.start(seed, voters, costs, httpMs);
  const { clock } = fleet;
  startEntries(fleet, 191);
  void sendHeartbeats(fleet, 40_000);
  void callUntilAnswered(fleet, submissionOf(7));
  await clock.advance(15_000);
  const times: Millis[] = [];
  for (let step = 0; step < 160; step += 1) {
    if (step % 20 === 0) {
      const i = times.push(Infinity) - 1;
      void callUntilAnswered(fleet, callAt(step)).then((ms) => {
        times[i] = ms;
      });
    }
    disturb(fleet, step);
    await clock.advance(50);
  }
  await clock.advance(12_000);
  return times;
}

const isLate = (ms: Millis) => ms > ackMs;

const submission = (step: number) => submissionOf(10 + step);

/** Holds the leader up for nine tenths of the time. */
function holdLeaderUp(fleet: Fleet, step: number): void {
  const [leader] = [...fleet.nodes].find(([, node]) => node === fleet.leader) ?? [];
  if (leader !== undefined && step % 10 === 0) void fleet.processors.get(leader)!.work(450);
}

test('documents are acknowledged in time by a leader that is held up for most of the time', async () => {
  const times = await answerTimes(1, submission, holdLeaderUp);
  assert.deepEqual(times.filter(isLate), []);
});

test('the document is read in time from a leader that is held up for most of the time', async () => {
  for (const seed of [1, 2, 3]) {
    const times = await answerTimes(seed, () => read, holdLeaderUp);
    assert.deepEqual(
      times.filter((ms) => ms > readMs),
      [],
      `seed ${seed}`,
    );
  }
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

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  Accounts,
  Admission,
  ReturnSchedule,
  ceilingOf,
  fairLevel,
  highestCeiling,
  openShare,
  demandPartOf,
  roomOf,
} from '../src/index.js';
import type { AdmissionRequest, Conditions, RoomStage } from '../src/index.js';

function stageOf(from: number, to: number, tokens: number): RoomStage {
  return { layers: { from, to }, tokenLayerCapacity: tokens * (to - from), slots: 4 };
}

test('the room is that of the layers that can hold least', () => {
  const halves = [stageOf(0, 40, 100), stageOf(0, 40, 100), stageOf(40, 80, 150)];
  assert.ok(Math.abs(roomOf(halves, 80).tokens - 150) < 0.1);
  assert.equal(roomOf(halves, 80).requests, 8);
  assert.equal(roomOf([stageOf(0, 40, 100)], 80).tokens, 0);
  assert.equal(roomOf([], 80).tokens, 0);
});

test('memory of a stage counts for the layers that need it, but once', () => {
  const whole = { layers: { from: 0, to: 80 }, tokenLayerCapacity: 8000, slots: 4 };
  assert.ok(Math.abs(roomOf([whole, stageOf(0, 40, 200)], 80).tokens - 200) < 0.1);
  assert.ok(Math.abs(roomOf([whole, stageOf(0, 40, 500)], 80).tokens - 200) < 0.1);
});

test('a part follows demand, and is even where demand says nothing', () => {
  const known = { own: 30, peers: 90, entries: 4, reporters: 4, isNew: false };
  assert.equal(demandPartOf(known), 0.25);
  assert.equal(demandPartOf({ ...known, own: 90, peers: 30, reporters: 2 }), 0.375);
  assert.equal(demandPartOf({ ...known, peers: undefined }), 0.25);
  assert.equal(demandPartOf({ ...known, own: 0, peers: 0 }), 0.25);
  assert.equal(demandPartOf({ ...known, own: 1, isNew: true }), 0.25);
});

test('only priorities with less urgent demand may go above the open share', () => {
  assert.equal(ceilingOf(0, [5]), openShare);
  assert.equal(ceilingOf(2, [5, 5, 5]), openShare);
  assert.ok(ceilingOf(0, [5, 5, 5]) > ceilingOf(1, [5, 5, 5]));
  assert.equal(ceilingOf(1, [5, 5, 0.01]), openShare);
  assert.equal(highestCeiling([0, 5, 5]), ceilingOf(1, [0, 5, 5]));
});

test('fair shares use all of the room and give no account more than it wants', () => {
  const want = fc.record({
    amount: fc.integer({ min: 1, max: 1000 }),
    weight: fc.integer({ min: 1, max: 9 }),
  });
  fc.assert(
    fc.property(fc.array(want, { minLength: 1 }), fc.integer({ min: 0, max: 9000 }), (w, room) => {
      const level = fairLevel(w, room);
      const used = w.reduce((n, x) => n + Math.min(x.amount, x.weight * level), 0);
      const wanted = w.reduce((n, x) => n + x.amount, 0);
      assert.ok(Math.abs(used - Math.min(room, wanted)) < 1e-6 * (1 + wanted));
    }),
  );
});

test('accounts that ask for nothing are forgotten, those that hold something are not', () => {
  const accounts = Accounts.create();
  accounts.record('gone', 1, 100, 0);
  accounts.record('held', 1, 100, 0);
  accounts.hold('held', 100);
  accounts.record('new', 1, 100, 60_000);
  assert.equal(accounts.size, 2);
  assert.equal(accounts.heldBy('held'), 100);
});

test('returns fill the room that becomes free, the urgent ones first', () => {
  const schedule = ReturnSchedule.create();
  const refused = { priority: 1, tokens: 100, tokensPerSecond: 1000, latestMs: 900, spread: 0.5 };
  const times = Array.from({ length: 10 }, () => schedule.book(refused, 0));
  const booked = times.filter((t) => t.isBooked);
  assert.deepEqual(
    booked.map((t) => t.afterMs),
    [150, 150, 250, 350, 450, 550, 650, 750, 850],
  );
  assert.ok(times.every((t) => t.afterMs <= 900));
  assert.equal(schedule.book({ ...refused, priority: 0 }, 0).afterMs, 150);
  assert.equal(schedule.keptFor(2, 150), 500);
  assert.equal(schedule.keptFor(0, 150), 0);
  schedule.take(0, 100, 150);
  assert.equal(schedule.keptFor(1, 150), 0);
});

const request: AdmissionRequest = {
  priority: 1,
  account: 'quay',
  weight: 1,
  tokens: 100,
  isResumed: false,
  remainingMs: 3000,
};

/** Conditions of one of four entries; the others use `part` of the room. */
function conditionsOf(part: number, overrides: Partial<Conditions> = {}): Conditions {
  const room = { tokens: 50_000, requests: 1000 };
  return {
    room,
    peerUse: { tokens: room.tokens * part, requests: 0 },
    peerDemand: [0, 50_000],
    entries: 4,
    reporters: 4,
    ...overrides,
  };
}

/** Requests that are admitted one after the other until one is refused; 200 at most. */
function countAdmitted(admission: Admission, known: Conditions): number {
  const isAdmitted = () => admission.decide(request, known, 0.5, 0).kind === 'admitted';
  let count = 0;
  while (count < 200 && isAdmitted()) count += 1;
  return count;
}

test('a service whose room is not known refuses nothing', () => {
  const known = conditionsOf(0, { room: { tokens: 0, requests: 0 } });
  assert.equal(countAdmitted(Admission.create(), known), 200);
});

test('only full slots are full room', () => {
  const room = { tokens: 1e9, requests: 100 };
  const used = (requests: number) => conditionsOf(0, { peerUse: { tokens: 0, requests }, room });
  const byOf = (known: Conditions) => Admission.create().decide(request, known, 0.5, 0).by;
  assert.equal(byOf(used(99)), 'open');
  assert.equal(byOf(used(100)), 'share');
});

test('an entry that has just started, or hears nothing, has an even share', () => {
  assert.equal(countAdmitted(Admission.create(), conditionsOf(0.7)), 106);
  const unheard = conditionsOf(0, { peerUse: undefined, peerDemand: undefined });
  assert.equal(countAdmitted(Admission.create(), unheard), 106);
});

test('a resumed stream is admitted where new work of its priority is not', () => {
  const admission = Admission.create();
  const known = conditionsOf(0.7);
  countAdmitted(admission, known);
  const isAdmitted = (overrides: Partial<AdmissionRequest>) =>
    admission.decide({ ...request, ...overrides }, known, 0.5, 300).kind === 'admitted';
  assert.equal(isAdmitted({}), false);
  assert.equal(isAdmitted({ isResumed: true }), true);
});

test('the first request of an account is admitted where its priority is full', () => {
  const admission = Admission.create();
  const known = conditionsOf(0.7);
  countAdmitted(admission, known);
  const decide = (account: string) =>
    admission.decide({ ...request, account }, known, 0.5, 300).kind;
  assert.equal(decide('small'), 'admitted');
  assert.equal(decide('quay'), 'refused');
});

test('ending a request twice gives its room back once', () => {
  const admission = Admission.create();
  const decision = admission.decide(request, conditionsOf(0), 0.5, 0);
  assert.ok(decision.kind === 'admitted');
  decision.end(10);
  decision.end(20);
  assert.deepEqual(admission.held, { tokens: 0, requests: 0 });
});

test('room that is kept for a refused caller does not go to less urgent work', () => {
  const admission = Admission.create();
  const peerDemand = [50_000, 0, 50_000];
  const decide = (priority: number, known: Conditions, now: number) =>
    admission.decide({ ...request, priority }, { ...known, peerDemand }, 0.5, now);
  // What ends gives the schedule its rate.
  for (let i = 0; i < 50; i += 1) {
    const ended = decide(0, conditionsOf(0), 0);
    if (ended.kind === 'admitted') ended.end(0);
  }
  let refused = decide(0, conditionsOf(0.95), 0);
  while (refused.kind === 'admitted') refused = decide(0, conditionsOf(0.95), 0);
  assert.ok(refused.isBooked);
  /** Conditions with room for one request and a half. */
  const roomLeft = (): Conditions => {
    const tokens = openShare * 50_000 - admission.held.tokens - request.tokens * 1.5;
    return conditionsOf(0, { peerUse: { tokens, requests: 0 } });
  };
  const backAt = refused.retryAfterMs;
  assert.equal(decide(2, roomLeft(), backAt).kind, 'refused');
  assert.equal(decide(0, roomLeft(), backAt).kind, 'admitted');
  assert.equal(decide(2, roomLeft(), backAt).kind, 'admitted');
});

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Millis } from '@tanagercart/base';
import { fullMemoryShare } from '@tanagercart/layers';
import { openShare } from '../src/index.js';
import { play, sum } from './fleetmodel.js';
import type { Asked, Load, Played } from './fleetmodel.js';

const usual = [115, 60, 37];
const worth = [2.6, 1.5, 0.81];

/** Start, duration and factor of each burst. */
const bursts = [
  [10_000, 5000, 1.6],
  [22_000, 7000, 2.5],
  [35_000, 3000, 2],
  [44_000, 4000, 2.5],
] as const;

function burstsAt(ms: Millis): readonly number[] {
  const burst = bursts.find(([from, forMs]) => ms >= from && ms < from + forMs);
  return usual.map((rate) => rate * (burst?.[2] ?? 1));
}

/** One of 24 accounts, of which the n-th asks for 1/n of what the first one does. */
function skewed(drawn: number): string {
  const sizes = Array.from({ length: 24 }, (_, i) => 1 / (i + 1));
  let left = drawn * sum(sizes, (s) => s);
  const at = sizes.findIndex((size) => {
    left -= size;
    return left < 0;
  });
  return `account-${at < 0 ? sizes.length - 1 : at}`;
}

/** The usual load fills 0.76 of this room. */
function loadOf(overrides: Partial<Load> = {}): Load {
  const room = { tokens: 560_000, requests: 2000 };
  return {
    seed: 1,
    untilMs: 60_000,
    ratesAt: burstsAt,
    accountOf: skewed,
    room,
    ...overrides,
  };
}

const isServed = (r: Asked) => r.admittedAt !== undefined;

function servedPart(requests: readonly Asked[]): number {
  return requests.filter(isServed).length / Math.max(1, requests.length);
}

/** Requests of a priority that came early enough for their callers to come back. */
function ofPriority({ asked }: Played, priority: number): readonly Asked[] {
  return asked.filter((r) => r.priority === priority && r.at < 50_000);
}

/** Part of the time in which more than `part` of the room was held. */
function timeAbove({ used }: Played, part: number): number {
  return used.filter((u) => u.part > part).length / used.length;
}

for (const seed of [1, 2, 3]) {
  let lastPlayed: Played | undefined;
  const playBursts = () => {
    lastPlayed ??= play(loadOf({ seed }));
    return lastPlayed;
  };

  test(`bursts do not cost urgent requests, nor more than the room (seed ${seed})`, () => {
    const played = playBursts();
    const [urgent, middle, patient] = [0, 1, 2].map((p) => ofPriority(played, p));
    assert.ok(servedPart(urgent!) > 0.99);
    assert.ok(servedPart(middle!) > 0.65);
    assert.ok(servedPart(middle!) > servedPart(patient!));
    // The demand of the bursts with that of callers that come back is more than there is.
    const all = [urgent!, middle!, patient!];
    const served = sum(all, (some) => some.filter(isServed).length * worth[some[0]!.priority]!);
    const asked = sum(all, (some) => some.length * worth[some[0]!.priority]!);
    assert.ok(served / asked > 0.85, `worth ${served / asked}`);
    // Reports are old, so the room of all is overrun for moments.
    assert.ok(timeAbove(played, 1) < 0.02);
  });

  test(`refused callers are not told times of no use, and are served (seed ${seed})`, () => {
    const played = playBursts();
    const urgent = ofPriority(played, 0);
    const returned = urgent.filter((r) => r.refusals > 0);
    assert.ok(returned.length > 100);
    assert.ok(servedPart(returned) > 0.97);
    assert.ok(sum(returned, (r) => r.refusals) / returned.length < 3);
    assert.ok(Math.max(...played.asked.map((r) => r.longestReturn)) <= 1 / 3);
  });

  test(`nothing is refused while there is room (seed ${seed})`, () => {
    const calm = play(loadOf({ seed, ratesAt: () => usual, untilMs: 30_000 }));
    assert.equal(calm.usedAtRefusal.length, 0);
    const { usedAtRefusal } = playBursts();
    // Entries know use as it was up to 0.4 s ago.
    const early = usedAtRefusal.filter((u) => u.part < openShare - 0.05);
    assert.ok(early.length < usedAtRefusal.length * 0.01);
  });

  test(`a large account does not starve small ones (seed ${seed})`, () => {
    const load = loadOf({ seed, ratesAt: () => [0, 400], untilMs: 30_000 });
    const { asked } = play(load);
    const settled = asked.filter((r) => r.at > 4000 && r.at < 20_000);
    const isLarge = (r: Asked) => r.account === 'account-0';
    const small = settled.filter((r) => Number(r.account.split('-')[1]) > 11);
    assert.ok(servedPart(small) > 0.85, `small ${servedPart(small)}`);
    const accounts = new Set(small.map((r) => r.account));
    for (const account of accounts) {
      assert.ok(servedPart(small.filter((r) => r.account === account)) > 0.5, account);
    }
    assert.ok(servedPart(settled.filter(isLarge)) > 0.1);
    assert.ok(servedPart(settled.filter(isLarge)) < servedPart(small));
  });

  test(`an account within its fair share is served beside a larger one (seed ${seed})`, () => {
    const accountOf = (drawn: number) => (drawn < 0.1 ? 'middle' : 'large');
    const { asked } = play(loadOf({ seed, ratesAt: () => [0, 400], accountOf, untilMs: 30_000 }));
    const settled = asked.filter((r) => r.at > 4000 && r.at < 20_000);
    const middle = settled.filter((r) => r.account === 'middle');
    assert.ok(servedPart(middle) > 0.95, `middle ${servedPart(middle)}`);
    const soon = middle.filter((r) => (r.admittedAt ?? Infinity) < r.at + 1000);
    assert.ok(soon.length > middle.length * 0.8, `soon ${soon.length / middle.length}`);
  });

  test(`entries that lose the reports keep to an even share (seed ${seed})`, () => {
    const isLost = (ms: Millis) => ms > 18_000 && ms < 40_000;
    const played = play(loadOf({ seed, reportsAt: (ms) => !isLost(ms) }));
    assert.ok(servedPart(ofPriority(played, 0)) > 0.97);
    const lost = played.used.filter((u) => isLost(u.at));
    assert.ok(Math.max(...lost.map((u) => u.part)) < fullMemoryShare + 0.08);
    const mean = sum(lost, (u) => u.part) / lost.length;
    assert.ok(mean > 0.75, `mean use ${mean}`);
  });
}
